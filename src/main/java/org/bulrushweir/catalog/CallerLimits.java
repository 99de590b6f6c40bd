package org.bulrushweir.catalog;

/**
 * The limits for the requests and connections of callers.
 *
 * @param maxHeaderBytes the maximum size of a request head, in bytes
 * @param maxBodyBytes the maximum size of a request body, in bytes
 * @param headerTimeoutMs the time within which the head must be complete, in milliseconds
 * @param idleTimeoutMs the time after which an idle connection is closed, in milliseconds
 */
public record CallerLimits(
    int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMs, long idleTimeoutMs) {

  /** The limits that apply unless the plan states others: the usual defaults of HTTP servers. */
  public static final CallerLimits DEFAULT = new CallerLimits(16_384, 4_194_304, 3_000, 15_000);
}
