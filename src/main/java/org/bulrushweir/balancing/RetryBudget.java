package org.bulrushweir.balancing;

import java.util.HashMap;
import java.util.Map;
import org.bulrushweir.api.ServiceName;

/**
 * Limits retries by a budget per service. The budget holds for all gateways together: each gateway
 * may retry a share of the requests that it received itself and uses an equal part of a fixed
 * number of further retries. The limit therefore holds even if the gateways cannot exchange
 * reports.
 */
public final class RetryBudget {

  /**
   * The number of buckets of the sliding window. The oldest bucket counts in full even if part of
   * it has left the window.
   */
  private static final int BUCKETS = 20;

  /**
   * The share of the budget that is used. Retries arrive at the endpoints later than they are
   * counted here, so the arrivals of a window may exceed the retries that were sent in it.
   */
  private static final double USED_SHARE = 0.8;

  /** The share of the budget that retries of requests may use which have not failed. */
  private static final double EARLY_SHARE = 0.5;

  private final Map<ServiceName, Window> windows = new HashMap<>();
  private final RetryBudgetSettings settings;
  private int gatewayCount = 1;

  /**
   * Creates a budget from which no retry was withdrawn.
   *
   * @param settings the limit for all gateways together
   */
  public RetryBudget(final RetryBudgetSettings settings) {
    this.settings = settings;
  }

  /**
   * Sets the number of gateways among which the fixed number of retries is divided.
   *
   * @param count the highest number of gateways that may be running, including those without a
   *     recent report
   */
  public void setGatewayCount(final int count) {
    gatewayCount = Math.max(1, count);
  }

  /**
   * Records a request of a caller.
   *
   * @param service the service of the request
   * @param nowMs the current time, in Unix milliseconds
   */
  public void recordRequest(final ServiceName service, final long nowMs) {
    window(service, nowMs).requests[0]++;
  }

  /**
   * Withdraws one retry from the budget if it is not exhausted.
   *
   * @param service the service of the request
   * @param nowMs the current time, in Unix milliseconds
   * @return false if the budget is exhausted
   */
  public boolean tryWithdraw(final ServiceName service, final long nowMs) {
    return withdraw(service, 1, nowMs);
  }

  /**
   * Withdraws one retry for a request that has not failed. The rest of the budget is kept for
   * requests that would otherwise fail for good.
   *
   * @param service the service of the request
   * @param nowMs the current time, in Unix milliseconds
   * @return false if the part of the budget for such retries is exhausted
   */
  public boolean tryWithdrawEarly(final ServiceName service, final long nowMs) {
    return withdraw(service, EARLY_SHARE, nowMs);
  }

  private boolean withdraw(final ServiceName service, final double share, final long nowMs) {
    final Window window = window(service, nowMs);
    final double allowed =
        share
            * USED_SHARE
            * (settings.ratio() * sum(window.requests) + settings.slack() / gatewayCount);
    if (sum(window.retries) + 1 > allowed) {
      return false;
    }
    window.retries[0]++;
    return true;
  }

  private Window window(final ServiceName service, final long nowMs) {
    final Window window = windows.computeIfAbsent(service, name -> new Window());
    window.advance(nowMs / Math.max(1, settings.windowMs() / BUCKETS));
    return window;
  }

  private static long sum(final long[] buckets) {
    long sum = 0;
    for (final long bucket : buckets) {
      sum += bucket;
    }
    return sum;
  }

  /** Counts by time bucket; the newest bucket has index zero. */
  private static final class Window {
    private final long[] requests = new long[BUCKETS + 1];
    private final long[] retries = new long[BUCKETS + 1];
    private long newest = Long.MIN_VALUE;

    void advance(final long bucket) {
      final long steps = newest == Long.MIN_VALUE ? 0 : Math.min(BUCKETS + 1, bucket - newest);
      for (long step = 0; step < steps; step++) {
        shift(requests);
        shift(retries);
      }
      newest = Math.max(newest, bucket);
    }

    private static void shift(final long[] buckets) {
      System.arraycopy(buckets, 0, buckets, 1, buckets.length - 1);
      buckets[0] = 0;
    }
  }
}
