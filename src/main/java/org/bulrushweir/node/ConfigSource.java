package org.bulrushweir.node;

import org.bulrushweir.api.NodeId;

/** A peer that has a configuration and can be asked for its text. */
public interface ConfigSource {

  /**
   * Returns who the peer is.
   *
   * @return the peer's id
   */
  NodeId node();

  /** Asks for the text; it arrives through {@link ConfigService#textArrived}. */
  void requestText();
}
