package org.bulrushweir.configuration;

import org.bulrushweir.api.ConfigNumber;
import org.bulrushweir.api.NodeId;

/** Something that a process has learned about configurations. */
public sealed interface ConfigEvent {

  /**
   * The platform's head row was read.
   *
   * @param head the row
   */
  record HeadRead(ConfigHead head) implements ConfigEvent {}

  /**
   * A message of a peer carried a number.
   *
   * @param number the number
   * @param peer the peer
   */
  record NumberSeen(ConfigNumber number, NodeId peer) implements ConfigEvent {}

  /**
   * A text has come, from the platform or a peer.
   *
   * @param number its number
   * @param digest its digest as the sender says
   * @param text the text
   */
  record TextArrived(ConfigNumber number, String digest, String text) implements ConfigEvent {}

  /** A text that was asked for has not come. */
  record FetchFailed() implements ConfigEvent {}
}
