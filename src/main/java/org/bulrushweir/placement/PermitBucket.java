package org.bulrushweir.placement;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.Optional;

/**
 * Counts the permits of the weight store that are left. The bucket is a row of the platform's table
 * and its times are the platform's, so that clocks of VMs do not matter.
 *
 * @param tokens how many permits are left
 * @param updatedMs when that was, by the platform's clock, in milliseconds
 */
public record PermitBucket(
    @JsonProperty("tokens") double tokens, @JsonProperty("updated_ms") long updatedMs) {

  /** The key of the row. */
  public static final String ROW_KEY = "permits/weight-store";

  /** How many milliseconds a minute has. */
  private static final double MILLISECONDS_PER_MINUTE = 60_000;

  /**
   * Takes a permit.
   *
   * @param permitsPerMinute how many permits come back in a minute
   * @param burst how many permits can be saved up
   * @param nowMs a time by the platform's clock that has passed already
   * @return the bucket afterwards, empty if no permit is left
   */
  public Optional<PermitBucket> tryAcquire(
      final double permitsPerMinute, final double burst, final long nowMs) {
    final long elapsedMs = Math.max(0, nowMs - updatedMs);
    final double refilled =
        Math.min(burst, tokens + elapsedMs * permitsPerMinute / MILLISECONDS_PER_MINUTE);
    if (refilled < 1) {
      return Optional.empty();
    }
    return Optional.of(new PermitBucket(refilled - 1, Math.max(updatedMs, nowMs)));
  }
}
