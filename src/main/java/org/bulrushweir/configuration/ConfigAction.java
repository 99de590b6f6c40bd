package org.bulrushweir.configuration;

import org.bulrushweir.api.NodeId;

/** Something that a process has to do about configurations. */
public sealed interface ConfigAction {

  /**
   * Read a text from the platform's object store.
   *
   * @param head says which one
   */
  record FetchFromPlatform(ConfigHead head) implements ConfigAction {}

  /**
   * Ask a peer for the text that is in force there.
   *
   * @param peer the peer
   */
  record FetchFromPeer(NodeId peer) implements ConfigAction {}

  /**
   * Put a configuration in force.
   *
   * @param config the configuration
   */
  record Adopt(AcceptedConfig config) implements ConfigAction {}

  /**
   * Report a text that can't be used.
   *
   * @param message what is wrong
   */
  record ReportInvalidConfig(String message) implements ConfigAction {}
}
