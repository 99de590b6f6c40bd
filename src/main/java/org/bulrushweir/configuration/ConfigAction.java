package org.bulrushweir.configuration;

import org.bulrushweir.api.NodeId;

/** Action that a process carries out for {@link ConfigMachine}. */
public sealed interface ConfigAction {

  /**
   * Reads a configuration's text from the platform's object store.
   *
   * @param head identifies the configuration
   */
  record FetchFromPlatform(ConfigHead head) implements ConfigAction {}

  /**
   * Requests from a peer the text of the configuration in force there.
   *
   * @param peer the peer
   */
  record FetchFromPeer(NodeId peer) implements ConfigAction {}

  /**
   * Puts a configuration in force.
   *
   * @param config the configuration
   */
  record Adopt(AcceptedConfig config) implements ConfigAction {}

  /**
   * Writes a configuration back to the platform, whose store was restored from an older copy and
   * has lost it.
   *
   * @param config the configuration in force
   */
  record WriteBack(AcceptedConfig config) implements ConfigAction {}

  /**
   * Reports a configuration whose text is damaged or invalid.
   *
   * @param message the reason, for operators
   */
  record ReportInvalidConfig(String message) implements ConfigAction {}
}
