package org.bulrushweir.catalog;

/**
 * Bounds what callers may send and how long they may take.
 *
 * @param maxHeaderBytes the largest head of a request, in bytes
 * @param maxBodyBytes the largest body, in bytes
 * @param headerTimeoutMs within which the head must be complete, in milliseconds
 * @param idleTimeoutMs for how long a connection may be idle, in milliseconds
 */
public record CallerLimits(
    int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMs, long idleTimeoutMs) {

  /** Holds before a configuration says otherwise: the usual limits of HTTP servers. */
  public static final CallerLimits DEFAULT = new CallerLimits(16_384, 4_194_304, 3_000, 15_000);
}
