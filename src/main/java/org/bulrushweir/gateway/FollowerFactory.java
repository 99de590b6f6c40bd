package org.bulrushweir.gateway;

import io.netty.channel.EventLoop;
import java.util.Locale;
import org.bulrushweir.api.Clock;
import org.bulrushweir.store.ChangeFeed;
import org.bulrushweir.store.ReadingSchedule;
import org.bulrushweir.store.SharedTable;

/** Creates the followers of the store's tables, with their metrics and their part of reports. */
final class FollowerFactory {

  private static final double MS_PER_SECOND = 1_000;

  private final ReadingsSection readings = new ReadingsSection();
  private final ChangeFeed feed;
  private final boolean sharedReading;
  private final GatewayMetrics metrics;
  private final EventLoop loop;
  private final Clock clock;

  /**
   * Creates a factory.
   *
   * @param feed the store's change feed
   * @param sharedReading whether gateways tell each other how far they have read
   * @param metrics the gateway's metrics
   * @param loop the event loop
   * @param clock the process's clock
   */
  FollowerFactory(
      final ChangeFeed feed,
      final boolean sharedReading,
      final GatewayMetrics metrics,
      final EventLoop loop,
      final Clock clock) {
    this.feed = new CountingFeed(feed, metrics::recordStoreCall);
    this.sharedReading = sharedReading;
    this.metrics = metrics;
    this.loop = loop;
    this.clock = clock;
  }

  /**
   * Returns the feed, which counts the calls.
   *
   * @return the feed
   */
  ChangeFeed feed() {
    return feed;
  }

  /**
   * Returns the part of reports that tells how far the tables were read.
   *
   * @return the section
   */
  ReportSection section() {
    return readings;
  }

  /**
   * Creates a follower.
   *
   * @param table the table to follow
   * @param listener receives the table's rows
   * @param announce sends an early report to peers
   * @return the follower, not yet started
   */
  TableFollower follow(
      final SharedTable table, final TableListener listener, final Runnable announce) {
    final ReadingSchedule schedule = new ReadingSchedule(sharedReading, Math::random);
    final TableFollower follower =
        new TableFollower(feed, table, listener, loop, clock, schedule, announce);
    readings.add(table, follower);
    metrics.gauge(
        "bulrushweir_gateway_%s_poll_wait_seconds".formatted(table.name().toLowerCase(Locale.ROOT)),
        "The wait of the last poll of the table.",
        () -> schedule.waitMs() / MS_PER_SECOND);
    return follower;
  }
}
