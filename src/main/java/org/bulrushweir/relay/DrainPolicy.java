package org.bulrushweir.relay;

import org.bulrushweir.catalog.RequestKind;

/**
 * Decides which requests a stopping router still takes. The balancer may go on sending to it, when
 * many routers stop together; a request that can't be finished before the process is killed is
 * refused as not run instead of being cut off.
 *
 * @param graceMs how long after the stop signal the process is killed, in milliseconds
 */
public record DrainPolicy(long graceMs) {

  /** How long before the kill the process exits by itself, in milliseconds. */
  public static final long EXIT_MARGIN_MS = 800;

  /** Within which nearly all streams end, in milliseconds: the longest answers of the sheets. */
  private static final long STREAM_MS = 3_500;

  /** Within which nearly all calls end, in milliseconds: stragglers take some times the usual. */
  private static final long CALL_MS = 1_500;

  /**
   * Tells whether a request can be taken.
   *
   * @param kind its kind
   * @param stoppingForMs how long ago the stop signal came, in milliseconds
   * @return false if it most likely would be cut off
   */
  public boolean takes(final RequestKind kind, final long stoppingForMs) {
    final long neededMs = kind == RequestKind.STREAM ? STREAM_MS : CALL_MS;
    return stoppingForMs + neededMs <= exitAfterMs();
  }

  /**
   * Returns when the process exits at the latest.
   *
   * @return the time after the stop signal, in milliseconds
   */
  public long exitAfterMs() {
    return Math.max(0, graceMs - EXIT_MARGIN_MS);
  }
}
