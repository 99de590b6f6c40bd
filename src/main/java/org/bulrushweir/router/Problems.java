package org.bulrushweir.router;

import java.util.Locale;
import org.bulrushweir.api.RequestId;
import org.bulrushweir.delivery.RefusalKind;
import org.bulrushweir.delivery.RequestOutcome;

/** Words the problems that callers are told. */
final class Problems {

  /** The run state of requests that certainly were not run. */
  static final String NOT_RUN = "not-run";

  /** The run state of requests of which nobody can tell whether they ran. */
  static final String UNKNOWN = "unknown";

  private static final String TYPE_PREFIX = "urn:bulrushweir:problem:";
  private static final int STATUS_BAD_REQUEST = 400;
  private static final int STATUS_UNPROCESSABLE = 422;
  private static final int STATUS_TOO_MANY = 429;
  private static final int STATUS_UNAVAILABLE = 503;
  private static final int STATUS_GATEWAY_TIMEOUT = 504;

  private Problems() {}

  /**
   * Words a request that was not run.
   *
   * @param outcome the outcome
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
   * Words a request of which nobody can tell whether it ran.
   *
   * @param outcome the outcome
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
   * Words a request that can't be run as it is.
   *
   * @param exception what is wrong
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
