package org.bulrushweir.placement;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.Optional;

/**
 * Token bucket that limits the loads from the weight store across the fleet. It is a row of the
 * platform's store, and its times are taken from the platform's clock, so that it does not depend
 * on the clocks of the VMs.
 *
 * @param tokens the number of permits that were left at the last update
 * @param updatedMs the time of the last update, in milliseconds of the platform's clock
 */
public record PermitBucket(
    @JsonProperty("tokens") double tokens, @JsonProperty("updated_ms") long updatedMs) {

  /** The key of the row. */
  public static final String ROW_KEY = "permits/weight-store";

  /** The number of milliseconds in a minute. */
  private static final double MILLISECONDS_PER_MINUTE = 60_000;

  /**
   * Refills the bucket for the time since the last update, then withdraws a permit.
   *
   * @param permitsPerMinute the number of permits added per minute
   * @param burst the capacity of the bucket, in permits
   * @param nowMs a time of the platform's clock that is not in the future, in milliseconds
   * @return the new state of the bucket, empty if no permit is left
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
