package org.bulrushweir.relay;

import java.util.OptionalLong;
import org.bulrushweir.catalog.RequestKind;

/**
 * Decides which requests a stopping router still takes. The balancer may go on sending to it, when
 * many routers stop together; a request that can't be finished before the process is killed is
 * refused as not run instead of being cut off.
 *
 * @param graceMs how long after the stop signal the process is killed, in milliseconds
 */
public record DrainPolicy(long graceMs) {

  /**
   * How long before the kill the process exits by itself, in milliseconds: below the last sixth of
   * the time of eight seconds, in which the platform allows work to be cut; a slow VM needs it.
   */
  public static final long EXIT_MARGIN_MS = 1_200;

  /** Within which a stream of unknown length ends, in milliseconds: the longest of the sheets. */
  private static final long UNKNOWN_STREAM_MS = 5_000;

  /** Within which nearly all streams begin, in milliseconds: their latency objective. */
  private static final long FIRST_EVENT_MS = 600;

  /** How long an engine takes for a token, in milliseconds: its step and some other prompts. */
  private static final long TOKEN_MS = 6;

  /** Within which nearly all calls end, in milliseconds: stragglers take some times the usual. */
  private static final long CALL_MS = 1_500;

  /**
   * Tells whether a request can be taken.
   *
   * @param kind its kind
   * @param outputTokens the longest answer that it allows, in tokens, if it says so
   * @param stoppingForMs how long ago the stop signal came, in milliseconds
   * @return false if it most likely would be cut off
   */
  public boolean accepts(
      final RequestKind kind, final OptionalLong outputTokens, final long stoppingForMs) {
    final long neededMs = kind == RequestKind.STREAM ? streamMs(outputTokens) : CALL_MS;
    return stoppingForMs + neededMs <= exitAfterMs();
  }

  private static long streamMs(final OptionalLong outputTokens) {
    return outputTokens.isPresent()
        ? FIRST_EVENT_MS + TOKEN_MS * outputTokens.getAsLong()
        : UNKNOWN_STREAM_MS;
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
