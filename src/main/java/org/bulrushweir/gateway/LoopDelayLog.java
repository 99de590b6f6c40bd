package org.bulrushweir.gateway;

import com.google.common.flogger.FluentLogger;
import org.bulrushweir.relay.ForwardingRule;

/** Counts and logs the times for which the event loop did not read its sockets. */
public final class LoopDelayLog {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final GatewayMetrics metrics;

  /**
   * Creates the log.
   *
   * @param metrics the metrics to update
   */
  public LoopDelayLog(final GatewayMetrics metrics) {
    this.metrics = metrics;
  }

  /**
   * Records how long arrivals may have waited at a poll; short delays are ignored.
   *
   * @param delayMs the time in milliseconds
   */
  public void record(final long delayMs) {
    if (delayMs <= ForwardingRule.MAX_UNREAD_MS) {
      return;
    }
    metrics.recordLoopDelay(delayMs);
    logger.atWarning().log(
        "the event loop was held up: callers' bytes may have waited unread for %d ms", delayMs);
  }
}
