package org.bulrushweir.sidecar;

import org.bulrushweir.wire.generated.Dispatch;
import org.bulrushweir.wire.generated.Kind;

/** Estimates the work of an attempt in work units; one unit is the reading of a prompt token. */
final class WorkEstimator {

  private static final long OUTPUT_TOKEN_UNITS = 8;
  private static final long SERVICE_CALL_UNITS = 100;

  private WorkEstimator() {}

  /**
   * Estimates the work.
   *
   * @param dispatch the attempt
   * @return the work in units, at least one
   */
  static long estimate(final Dispatch dispatch) {
    if (dispatch.getKind() == Kind.CALL) {
      return SERVICE_CALL_UNITS;
    }
    final long prompt = dispatch.getCacheExpected() ? 0 : dispatch.getPromptTokens();
    final long output =
        Math.max(0, dispatch.getExpectedOutputTokens() - dispatch.getContinuationTokens());
    return Math.max(1, prompt + OUTPUT_TOKEN_UNITS * output);
  }
}
