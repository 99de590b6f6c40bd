package org.bulrushweir.relay;

import java.util.OptionalLong;
import org.bulrushweir.catalog.RequestKind;

/**
 * Decides which requests a draining router still accepts. Until the load balancer has noticed that
 * it is not ready, a router accepts all requests that are expected to finish before it exits. The
 * load balancer may keep sending requests afterwards, when many routers stop at once: of these a
 * router accepts only those whose time limit ends before it exits, since an engine may need far
 * longer than expected. The others are refused as not run.
 *
 * @param graceMs the time between the stop signal and the kill of the process, in milliseconds
 */
public record DrainPolicy(long graceMs) {

  /**
   * The time before the kill at which the process exits by itself, in milliseconds. The platform
   * allows requests to be cut off only in the last sixth of the grace period of 8 s; the margin
   * stays below that sixth and covers the exit of a process on a slow VM.
   */
  public static final long EXIT_MARGIN_MS = 1_200;

  /**
   * The time within which the load balancer notices that a router is not ready, in milliseconds:
   * two checks, one a second, and their time-outs.
   */
  public static final long BALANCER_NOTICE_MS = 2_600;

  /** The time within which the response to a request at its time limit is sent, in milliseconds. */
  private static final long RESPONSE_MARGIN_MS = 300;

  /**
   * The time reserved for a stream without a stated length, in milliseconds: the longest stream in
   * the data sheets.
   */
  private static final long UNBOUNDED_STREAM_MS = 5_000;

  /**
   * The time within which nearly all streams send their first event, in milliseconds: their latency
   * objective.
   */
  private static final long FIRST_EVENT_MS = 600;

  /**
   * The time that an engine needs for an output token, in milliseconds: one decoding step and a
   * share of the prefill of other prompts.
   */
  private static final long TOKEN_MS = 6;

  /**
   * The time within which nearly all calls end, in milliseconds. It covers slow calls that take
   * several times the usual duration.
   */
  private static final long CALL_MS = 1_500;

  /**
   * Returns whether a request is accepted.
   *
   * @param kind the kind of the request
   * @param maxOutputTokens the highest number of output tokens that the request allows, empty if it
   *     does not limit them
   * @param timeLimitMs the time after which the request is ended in any case, in milliseconds
   * @param stoppingForMs the time since the stop signal, in milliseconds
   * @return false if the request might be cut off
   */
  public boolean accepts(
      final RequestKind kind,
      final OptionalLong maxOutputTokens,
      final long timeLimitMs,
      final long stoppingForMs) {
    if (stoppingForMs + timeLimitMs + RESPONSE_MARGIN_MS <= exitAfterMs()) {
      return true;
    }
    final long expectedMs = kind == RequestKind.STREAM ? streamMs(maxOutputTokens) : CALL_MS;
    return stoppingForMs <= BALANCER_NOTICE_MS && stoppingForMs + expectedMs <= exitAfterMs();
  }

  private static long streamMs(final OptionalLong maxOutputTokens) {
    return maxOutputTokens.isPresent()
        ? FIRST_EVENT_MS + TOKEN_MS * maxOutputTokens.getAsLong()
        : UNBOUNDED_STREAM_MS;
  }

  /**
   * Returns the time of the latest exit of the process.
   *
   * @return the time after the stop signal, in milliseconds
   */
  public long exitAfterMs() {
    return Math.max(0, graceMs - EXIT_MARGIN_MS);
  }
}
