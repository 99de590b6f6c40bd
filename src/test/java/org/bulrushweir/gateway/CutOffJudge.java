package org.bulrushweir.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;

/** Judges what a caller has received by what endpoints have sent. */
final class CutOffJudge {

  private static final int BAD_GATEWAY = 502;
  private static final int NOT_RUN = 503;
  private static final int TIMED_OUT = 504;

  private final CutOffCall call;
  private final List<CutOffAttempt> attempts;

  /** What a caller has received. */
  enum Verdict {
    /** A whole answer of an endpoint. */
    WHOLE,
    /** An error of the gateway's own. */
    REFUSED,
    /** A part of an answer, or nothing, and the end of the connection. */
    BROKEN_OFF
  }

  /**
   * Creates a judge of one request.
   *
   * @param call its kind
   * @param attempts the answers to it in order
   */
  CutOffJudge(final CutOffCall call, final List<CutOffAttempt> attempts) {
    this.call = call;
    this.attempts = attempts;
  }

  /**
   * Judges a response.
   *
   * @param received all bytes that the caller has received
   * @param connected whether its connection is still open
   * @return what it is
   */
  Verdict judge(final String received, final boolean connected) {
    final long runs = attempts.stream().filter(attempt -> !attempt.isProvenNotRun()).count();
    assertTrue(!call.runsOnce() || runs <= 1, () -> "runs: " + runs);
    final Optional<ReceivedResponse> read = ReceivedResponse.read(received, call.isToHead());
    if (read.isEmpty() || !read.get().complete()) {
      assertFalse(connected, () -> "incomplete, and the connection is open: " + received);
      read.ifPresent(this::checkPart);
      return Verdict.BROKEN_OFF;
    }
    final ReceivedResponse response = read.get();
    assertEquals("", response.rest(), () -> "bytes after the response: " + received);
    if (isOwn(response)) {
      assertTrue(response.status() != NOT_RUN || runs == 0, () -> "503 after " + runs + " runs");
      return Verdict.REFUSED;
    }
    assertTrue(
        attempts.stream().anyMatch(attempt -> isWhole(attempt, response)),
        () -> "no endpoint has sent this as a whole answer: " + received);
    return Verdict.WHOLE;
  }

  private static boolean isOwn(final ReceivedResponse response) {
    final int status = response.status();
    return response.header("x-response-seal").isEmpty()
        && response.header("content-length").equals(Optional.of("0"))
        && (status == BAD_GATEWAY || status == NOT_RUN || status == TIMED_OUT);
  }

  private boolean isWhole(final CutOffAttempt attempt, final ReceivedResponse response) {
    final CutOffAnswer answer = attempt.answer();
    return answer.status() == response.status()
        && (!answer.isSuccess() || answer.isProvenSuccess())
        && hasSealOfEndpoint(response)
        && attempt
            .wholeBody(call.isStream())
            .map(body -> body(attempt, body))
            .equals(Optional.of(response.body()));
  }

  /** Returns the caller's body if it ends with the body of an attempt, which may resume others. */
  private String body(final CutOffAttempt attempt, final String body) {
    return call.isStream() && attempt.answer().isSuccess()
        ? CutOffCall.events(call.lastEvent(), attempt.resumedAfter()) + body
        : body;
  }

  private boolean hasSealOfEndpoint(final ReceivedResponse response) {
    final Optional<String> seal = response.header("x-response-seal");
    return attempts.stream()
        .map(CutOffAttempt::answer)
        .filter(answer -> answer.status() == response.status())
        .anyMatch(
            answer ->
                (answer.has(CutOffAnswer.Trait.UNSEALED)
                        ? Optional.empty()
                        : Optional.of(answer.seal()))
                    .equals(seal));
  }

  /** Checks that a part of a response has no bytes but those of one answer or stream. */
  private void checkPart(final ReceivedResponse response) {
    assertTrue(hasSealOfEndpoint(response), () -> "no endpoint's answer: " + response.head());
    assertTrue(
        attempts.stream()
            .filter(attempt -> attempt.answer().status() == response.status())
            .anyMatch(
                attempt -> body(attempt, attempt.answer().body()).startsWith(response.body())),
        () -> "the part is mixed: " + response.body());
  }
}
