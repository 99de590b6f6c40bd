package org.bulrushweir.routing;

import java.util.Arrays;
import java.util.List;

/** Computes the median time per token of the endpoints of a service. */
final class PaceMedian {

  /** The age up to which a reported time per token is used, in milliseconds. */
  private static final long MAX_REPORT_AGE_MS = 1_000;

  private PaceMedian() {}

  /**
   * Returns whether an endpoint has recently reported its time per token.
   *
   * @param view the endpoint
   * @return false if its time per token is unknown or the report is too old
   */
  static boolean hasRecentPace(final EndpointView view) {
    return view.paceMicros() > 0 && view.loadAgeMs() <= MAX_REPORT_AGE_MS;
  }

  /**
   * Computes the median time per token of the endpoints that have recently reported it.
   *
   * @param views the endpoints
   * @return the median in microseconds, zero if no endpoint has reported it
   */
  static int of(final List<EndpointView> views) {
    final int[] paces =
        views.stream()
            .filter(PaceMedian::hasRecentPace)
            .mapToInt(EndpointView::paceMicros)
            .toArray();
    Arrays.sort(paces);
    return paces.length == 0 ? 0 : paces[paces.length / 2];
  }
}
