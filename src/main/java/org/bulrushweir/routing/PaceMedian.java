package org.bulrushweir.routing;

import java.util.Arrays;
import java.util.List;

/** Computes how fast the endpoints of a service are in the middle. */
final class PaceMedian {

  /** Up to which age a report of pace is worth acting upon, in milliseconds. */
  private static final long USEFUL_AGE_MS = 1_000;

  private PaceMedian() {}

  /**
   * Tells whether an endpoint has told its pace lately.
   *
   * @param view the endpoint
   * @return false if its pace is unknown or old
   */
  static boolean tellsPace(final EndpointView view) {
    return view.paceMicros() > 0 && view.loadAgeMs() <= USEFUL_AGE_MS;
  }

  /**
   * Computes the median time per token of the endpoints that have told it lately.
   *
   * @param views the endpoints
   * @return microseconds, zero if none has
   */
  static int of(final List<EndpointView> views) {
    final int[] paces =
        views.stream().filter(PaceMedian::tellsPace).mapToInt(EndpointView::paceMicros).toArray();
    Arrays.sort(paces);
    return paces.length == 0 ? 0 : paces[paces.length / 2];
  }
}
