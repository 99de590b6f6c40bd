package org.bulrushweir.balancing;

import java.util.HashMap;
import java.util.Map;
import org.bulrushweir.api.ServiceName;

/**
 * Bounds how many requests are sent a second time. The bound holds for all routers together: each
 * may repeat a share of the requests that it took itself, and has an equal part of a fixed
 * allowance, so that it holds also when routers can't hear each other.
 */
public final class RetryBudget {

  /** How many buckets a window has; a partly passed bucket counts whole. */
  private static final int BUCKETS = 20;

  /** Which part of the allowance is used: arrivals are counted at the endpoints, later. */
  private static final double USED_PART = 0.8;

  private final Map<ServiceName, Window> windows = new HashMap<>();
  private final RetryBudgetSettings settings;
  private int routerCount = 1;

  /**
   * Creates an allowance that nothing was taken from.
   *
   * @param settings the bound for all routers together
   */
  public RetryBudget(final RetryBudgetSettings settings) {
    this.settings = settings;
  }

  /**
   * Sets by how many routers the fixed allowance is divided.
   *
   * @param count how many routers there may be, those that are not heard of included
   */
  public void setRouterCount(final int count) {
    routerCount = Math.max(1, count);
  }

  /**
   * Notes a caller's request.
   *
   * @param service its service
   * @param nowMs the current time
   */
  public void recordRequest(final ServiceName service, final long nowMs) {
    window(service, nowMs).requests[0]++;
  }

  /**
   * Takes a repeat out of the allowance.
   *
   * @param service the service
   * @param nowMs the current time
   * @return false if the allowance is used up
   */
  public boolean tryWithdraw(final ServiceName service, final long nowMs) {
    final Window window = window(service, nowMs);
    final double allowed =
        USED_PART * (settings.ratio() * sum(window.requests) + settings.slack() / routerCount);
    if (sum(window.repeats) + 1 > allowed) {
      return false;
    }
    window.repeats[0]++;
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

  /** Counts by time; the newest bucket is the first. */
  private static final class Window {
    private final long[] requests = new long[BUCKETS + 1];
    private final long[] repeats = new long[BUCKETS + 1];
    private long newest = Long.MIN_VALUE;

    void advance(final long bucket) {
      final long steps = newest == Long.MIN_VALUE ? 0 : Math.min(BUCKETS + 1, bucket - newest);
      for (long step = 0; step < steps; step++) {
        shift(requests);
        shift(repeats);
      }
      newest = Math.max(newest, bucket);
    }

    private static void shift(final long[] buckets) {
      System.arraycopy(buckets, 0, buckets, 1, buckets.length - 1);
      buckets[0] = 0;
    }
  }
}
