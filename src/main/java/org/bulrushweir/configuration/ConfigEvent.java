package org.bulrushweir.configuration;

import org.bulrushweir.api.ConfigNumber;
import org.bulrushweir.api.NodeId;

/** Event that a process passes to {@link ConfigMachine}. */
public sealed interface ConfigEvent {

  /**
   * The platform's head row was read.
   *
   * @param head the content of the row, with number zero if the row does not exist
   */
  record HeadRead(ConfigHead head) implements ConfigEvent {}

  /**
   * A peer's message contained the number of the configuration in force there.
   *
   * @param number the number
   * @param peer the peer
   */
  record NumberSeen(ConfigNumber number, NodeId peer) implements ConfigEvent {}

  /**
   * A configuration's text was received from the platform or a peer.
   *
   * @param number the configuration's number
   * @param digest the SHA-256 digest of the text according to the sender, in hexadecimal
   * @param text the text
   */
  record TextArrived(ConfigNumber number, String digest, String text) implements ConfigEvent {}

  /** A requested text could not be fetched. */
  record FetchFailed() implements ConfigEvent {}
}
