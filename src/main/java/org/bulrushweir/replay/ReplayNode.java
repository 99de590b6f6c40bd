package org.bulrushweir.replay;

import org.bulrushweir.membership.EndpointTable;
import org.bulrushweir.membership.GossipMessage;
import org.bulrushweir.membership.GossipSettings;

/** A process of a replayed fleet. */
abstract sealed class ReplayNode permits ReplayRouter, ReplayEndpoint {

  /** The replay. */
  private final Replay replay;

  /** What the process knows of endpoints. */
  private final EndpointTable table;

  /**
   * Creates a process.
   *
   * @param replay the replay
   * @param random breaks ties
   */
  ReplayNode(final Replay replay, final java.util.random.RandomGenerator random) {
    this.replay = replay;
    this.table = new EndpointTable(GossipSettings.DEFAULT, random);
  }

  Replay replay() {
    return replay;
  }

  EndpointTable table() {
    return table;
  }

  long nowMs() {
    return replay.queue().nowMs();
  }

  /**
   * Tells whether the process runs.
   *
   * @return false after it was stopped or killed
   */
  abstract boolean isAlive();

  /** Puts the process's own report into its table, if it has an endpoint. */
  abstract void refreshReport();

  /**
   * Tells a peer the news.
   *
   * @param peer the peer
   */
  void gossipTo(final ReplayNode peer) {
    refreshReport();
    final GossipMessage message = table.compose(replay.options().service().name().value(), nowMs());
    replay.transmit(
        () -> {
          peer.table().receive(message, nowMs());
          peer.describeAll();
        });
  }

  /** Describes all endpoints that were heard of; the replay has no lost descriptions. */
  void describeAll() {
    replay.laggingList().forEach(table::putInfo);
  }
}
