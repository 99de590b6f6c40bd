package org.bulrushweir.gateway;

import java.util.Set;
import org.bulrushweir.gateway.CutOffAnswer.End;
import org.bulrushweir.gateway.CutOffAnswer.Trait;
import org.bulrushweir.relay.ResponseFraming;
import org.bulrushweir.testing.RawRequest;

/**
 * A request that has one of its answers cut off; the other endpoints that it reaches are sound.
 *
 * @param call the kind of request
 * @param answer the answer that is cut off
 * @param sent the number of its bytes that are sent
 * @param end how its connection goes on
 * @param reused whether that connection has carried another request before
 */
record CutOffCase(CutOffCall call, CutOffAnswer answer, int sent, End end, boolean reused) {

  private static final int OK = 200;
  private static final int SERVER_ERROR = 500;
  private static final int SERVICE_UNAVAILABLE = 503;

  /** The part of a stream that precedes its resumption: two events and a part of the third. */
  private static final int FIRST_PART_BYTES = 40;

  private int cutNumber() {
    return call == CutOffCall.RESUMED ? 1 : 0;
  }

  /**
   * Returns what an endpoint sends.
   *
   * @param request the request as it arrives there
   * @param number the number of earlier attempts
   */
  CutOffAttempt attempt(final RawRequest request, final int number) {
    if (number == cutNumber()) {
      return new CutOffAttempt(request, answer, sent, end);
    }
    final String last = request.header("Last-Event-Id");
    final CutOffAnswer sound =
        CutOffAnswer.of(
            OK,
            "seal-of-answer-" + number,
            ResponseFraming.CHUNKED,
            Set.of(),
            call.isStream()
                ? CutOffCall.events(last.isEmpty() ? -1 : Long.parseLong(last))
                : "another body",
            call.isToHead());
    final int length =
        number < cutNumber()
            ? sound.head(request.id()).length() + FIRST_PART_BYTES
            : sound.bytes(request.id()).length();
    return new CutOffAttempt(request, sound, length, End.CLOSED);
  }

  private boolean isWhole(final String requestId) {
    return new CutOffAttempt(new RawRequest(call.request(requestId)), answer, sent, end)
        .wholeBody(call.isStream())
        .isPresent();
  }

  /** Returns whether the answer must reach the caller without a further attempt. */
  boolean isForwardable(final String requestId) {
    final int status = answer.status();
    final boolean proper =
        answer.isSuccess()
            ? answer.isProvenSuccess()
            : status != SERVICE_UNAVAILABLE && (status != SERVER_ERROR || !call.isRepeatable());
    return isWhole(requestId) && proper && (call != CutOffCall.RESUMED || status == OK);
  }

  /** Returns whether the caller must get a whole answer, maybe that of another endpoint. */
  boolean isDeliverable(final String requestId) {
    final boolean sentAgain = call.isRepeatable() || answer.has(Trait.NOT_RUN);
    return isForwardable(requestId)
        || isWhole(requestId) && sentAgain && call != CutOffCall.RESUMED;
  }
}
