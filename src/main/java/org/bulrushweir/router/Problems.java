package org.bulrushweir.router;

import java.util.Locale;
import org.bulrushweir.api.RequestId;
import org.bulrushweir.delivery.RefusalKind;
import org.bulrushweir.delivery.RequestOutcome;

/** Builds the problem details that callers receive. */
final class Problems {

  /** The run state of requests that were certainly not run. */
  static final String NOT_RUN = "not-run";

  /** The run state of requests of which it can't be determined whether they ran. */
  static final String UNKNOWN = "unknown";

  private static final String TYPE_PREFIX = "urn:bulrushweir:problem:";
  private static final int STATUS_BAD_REQUEST = 400;
  private static final int STATUS_UNPROCESSABLE = 422;
  private static final int STATUS_TOO_MANY = 429;
  private static final int STATUS_UNAVAILABLE = 503;
  private static final int STATUS_GATEWAY_TIMEOUT = 504;

  private Problems() {}

  /**
   * Describes a request that was not run.
   *
   * @param outcome the outcome of the request
   * @param id the request's id
   * @return the problem
   */
  static Problem of(final RequestOutcome.NotRun outcome, final RequestId id) {
    final String kind = outcome.kind().name().toLowerCase(Locale.ROOT).replace('_', '-');
    return new Problem(
        TYPE_PREFIX + kind,
        "The request was not run.",
        status(outcome.kind()),
        outcome.detail(),
        id.toString(),
        NOT_RUN,
        outcome.retryAfterMs() == 0 ? null : outcome.retryAfterMs());
  }

  /**
   * Describes a request of which it can't be determined whether it ran.
   *
   * @param outcome the outcome of the request
   * @param id the request's id
   * @return the problem
   */
  static Problem of(final RequestOutcome.Unknown outcome, final RequestId id) {
    return new Problem(
        TYPE_PREFIX + "unknown",
        "Nobody can tell whether the request ran to its end.",
        STATUS_GATEWAY_TIMEOUT,
        outcome.detail(),
        id.toString(),
        UNKNOWN,
        null);
  }

  /**
   * Describes a request that was rejected as invalid or not permitted.
   *
   * @param exception the reason of the rejection
   * @param id the request's id
   * @return the problem
   */
  static Problem of(final ProblemException exception, final RequestId id) {
    return new Problem(
        TYPE_PREFIX + exception.type(),
        "The request can't be run.",
        exception.status(),
        exception.getMessage(),
        id.toString(),
        NOT_RUN,
        null);
  }

  private static int status(final RefusalKind kind) {
    return switch (kind) {
      case BAD_REQUEST -> STATUS_BAD_REQUEST;
      case CLAIM_CONFLICT -> STATUS_UNPROCESSABLE;
      case RATE_LIMITED -> STATUS_TOO_MANY;
      default -> STATUS_UNAVAILABLE;
    };
  }
}
