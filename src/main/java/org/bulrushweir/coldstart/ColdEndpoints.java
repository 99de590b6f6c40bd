package org.bulrushweir.coldstart;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.bulrushweir.api.EndpointId;
import org.bulrushweir.catalog.EndpointRecord;

/**
 * Knows which endpoints are cold. The time that a registration states runs from when this gateway
 * first read that version of it, so that a late read overstates the time that is left.
 */
public final class ColdEndpoints {

  /**
   * The number of endpoints above which those that are warm are forgotten. A second read of the
   * same registration does not make a remembered one cold again.
   */
  private static final int MAX_REMEMBERED = 16_384;

  private final Map<EndpointId, ColdTime> times = new HashMap<>();
  private final List<EndpointId> turnedCold = new ArrayList<>();

  /**
   * Records a registration that was read.
   *
   * @param endpoint the endpoint as registered
   * @param version the version of the registration's row in the store
   * @param nowMs the current time, in Unix milliseconds
   */
  public void observe(final EndpointRecord endpoint, final long version, final long nowMs) {
    final ColdTime known = times.get(endpoint.id());
    if (known != null
        && (endpoint.startedAtMs() < known.startedAtMs() || known.isOf(endpoint, version))) {
      return;
    }
    if (endpoint.coldForMs() == 0) {
      if (known != null) {
        times.put(endpoint.id(), ColdTime.of(endpoint, version, nowMs, known.reported()));
      }
      return;
    }
    final boolean wasCold = known != null && known.reported();
    times.put(endpoint.id(), ColdTime.of(endpoint, version, nowMs, true));
    if (!wasCold) {
      turnedCold.add(endpoint.id());
    }
  }

  /**
   * Returns how long an endpoint stays cold.
   *
   * @param endpoint the endpoint
   * @param nowMs the current time, in Unix milliseconds
   * @return the time in milliseconds, zero if it is warm
   */
  public long coldForMs(final EndpointId endpoint, final long nowMs) {
    final ColdTime time = times.get(endpoint);
    return time == null ? 0 : Math.max(0, time.untilMs() - nowMs);
  }

  /**
   * Returns the number of cold endpoints.
   *
   * @param nowMs the current time, in Unix milliseconds
   * @return the number
   */
  public long count(final long nowMs) {
    return times.values().stream().filter(time -> nowMs < time.untilMs()).count();
  }

  /**
   * Returns and clears the endpoints that have become cold since the last call.
   *
   * @return the endpoints in the order of their registrations
   */
  public List<EndpointId> drainTurnedCold() {
    final List<EndpointId> drained = List.copyOf(turnedCold);
    turnedCold.clear();
    return drained;
  }

  /**
   * Returns the endpoints that have become warm since the last call, and forgets those that are
   * warm if they are many.
   *
   * @param nowMs the current time, in Unix milliseconds
   * @return the endpoints, empty if there are none
   */
  public List<EndpointId> drainTurnedWarm(final long nowMs) {
    final List<EndpointId> warm = new ArrayList<>();
    times.replaceAll(
        (id, time) -> {
          if (!time.reported() || nowMs < time.untilMs()) {
            return time;
          }
          warm.add(id);
          return time.asReportedWarm();
        });
    if (times.size() > MAX_REMEMBERED) {
      times.values().removeIf(time -> nowMs >= time.untilMs());
    }
    return warm;
  }

  /**
   * How long a run of an endpoint is cold.
   *
   * @param startedAtMs the start of the run, in Unix milliseconds
   * @param coldForMs the time that its registration states, in milliseconds
   * @param version the version of the registration
   * @param untilMs the time from which it is warm, in Unix milliseconds
   * @param reported whether the change to cold was reported, and the one to warm was not
   */
  private record ColdTime(
      long startedAtMs, long coldForMs, long version, long untilMs, boolean reported) {

    static ColdTime of(
        final EndpointRecord endpoint,
        final long version,
        final long nowMs,
        final boolean reported) {
      return new ColdTime(
          endpoint.startedAtMs(),
          endpoint.coldForMs(),
          version,
          nowMs + endpoint.coldForMs(),
          reported);
    }

    boolean isOf(final EndpointRecord endpoint, final long otherVersion) {
      return startedAtMs == endpoint.startedAtMs()
          && coldForMs == endpoint.coldForMs()
          && version == otherVersion;
    }

    ColdTime asReportedWarm() {
      return new ColdTime(startedAtMs, coldForMs, version, untilMs, false);
    }
  }
}
