package org.bulrushweir.balancing;

import java.util.OptionalLong;

/**
 * Estimates how many times longer than usual work takes at an endpoint, from what the endpoint
 * states or, if it states nothing, from the measured times of its calls. VMs are slowed down for
 * 0.6 s at a time and sometimes for seconds, so an observation loses its value with its age.
 */
final class EndpointPace {

  /** The pace of an endpoint of which nothing recent is known. */
  static final double USUAL = 1;

  /** The pace from which an endpoint counts as slow. */
  static final double SLOW = 1.5;

  /** The usual duration of a slowdown, in milliseconds. */
  private static final long SLOWDOWN_MS = 600;

  /** The time after which the longest slowdown is expected to have ended, in milliseconds. */
  private static final long MAX_SLOWDOWN_MS = 3_000;

  /** The time without an observation after which a slowdown counts as a new one. */
  private static final long MAX_GAP_MS = 800;

  /** The time for which measurements are ignored after a stated pace, in milliseconds. */
  private static final long STATED_VALID_MS = 10_000;

  /** The weight of a measured call: its time also depends on the request. */
  private static final double MEASURED_WEIGHT = 0.4;

  private static final double MIN_PACE = 0.25;
  private static final double MAX_PACE = 20;

  private double observed = USUAL;
  private long observedAtMs;
  private long slowSinceMs;
  private long statedAtMs;

  /**
   * Records the pace that the endpoint states.
   *
   * @param pace the pace, 1 is usual
   * @param nowMs the current time, in Unix milliseconds
   */
  void recordStated(final double pace, final long nowMs) {
    statedAtMs = nowMs;
    observe(pace, nowMs);
  }

  /**
   * Records the measured time of a call, unless the endpoint states its pace itself.
   *
   * @param ratio the time relative to the mean of the service
   * @param nowMs the current time, in Unix milliseconds
   */
  void recordMeasured(final double ratio, final long nowMs) {
    if (statedAtMs == 0 || nowMs - statedAtMs > STATED_VALID_MS) {
      final double before = at(nowMs);
      observe(before + MEASURED_WEIGHT * (Math.min(ratio, MAX_PACE) - before), nowMs);
    }
  }

  private void observe(final double pace, final long nowMs) {
    final boolean continues = observed >= SLOW && nowMs - observedAtMs <= MAX_GAP_MS;
    if (!continues) {
      slowSinceMs = nowMs;
    }
    observed = Math.clamp(pace, MIN_PACE, MAX_PACE);
    observedAtMs = nowMs;
  }

  /**
   * Returns the expected pace.
   *
   * @param nowMs the current time, in Unix milliseconds
   * @return the pace, 1 if nothing recent is known
   */
  double at(final long nowMs) {
    final long ageMs = Math.max(0, nowMs - observedAtMs);
    final long validMs = validMs();
    return ageMs >= validMs ? USUAL : USUAL + (observed - USUAL) * (validMs - ageMs) / validMs;
  }

  /**
   * Returns the age of the pace that the endpoint stated last.
   *
   * @param nowMs the current time, in Unix milliseconds
   * @return the age in milliseconds, empty if it has stated none
   */
  OptionalLong statedAgeMs(final long nowMs) {
    return statedAtMs == 0 ? OptionalLong.empty() : OptionalLong.of(nowMs - statedAtMs);
  }

  /**
   * Returns how long the last observation says something. A slowdown that has lasted longer than
   * usual is one of those that take seconds.
   */
  private long validMs() {
    final long slowForMs = observed >= SLOW ? observedAtMs - slowSinceMs : 0;
    return slowForMs <= SLOWDOWN_MS ? SLOWDOWN_MS : Math.min(MAX_SLOWDOWN_MS, 2 * slowForMs);
  }
}
