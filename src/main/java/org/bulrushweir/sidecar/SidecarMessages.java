package org.bulrushweir.sidecar;

import org.bulrushweir.api.AttemptKey;
import org.bulrushweir.api.EndpointId;
import org.bulrushweir.delivery.RefusalKind;
import org.bulrushweir.wire.generated.Accepted;
import org.bulrushweir.wire.generated.CancelResult;
import org.bulrushweir.wire.generated.Envelope;
import org.bulrushweir.wire.generated.Refusal;
import org.bulrushweir.wire.generated.Report;
import org.bulrushweir.wire.generated.ResumeResult;
import org.bulrushweir.wire.generated.ResumeState;

/** Builds the messages that a sidecar sends to routers. */
final class SidecarMessages {

  private SidecarMessages() {}

  /**
   * Builds the message that an attempt was accepted and is queued or running.
   *
   * @param key the attempt
   * @param incarnation the sidecar's incarnation
   * @param firstTokenInMs the expected time until the first token, in milliseconds
   * @param report the endpoint's report
   * @return the message
   */
  static Envelope.Builder accepted(
      final AttemptKey key,
      final long incarnation,
      final long firstTokenInMs,
      final Report report) {
    return Envelope.newBuilder()
        .setAccepted(
            Accepted.newBuilder()
                .setRequest(key.request().value())
                .setAttempt(key.attempt())
                .setIncarnation(incarnation)
                .setFirstTokenInMs((int) firstTokenInMs)
                .setReport(report));
  }

  /**
   * Builds the refusal of an attempt, which asserts that it was not run and never will be.
   *
   * @param key the attempt
   * @param kind the reason
   * @param retryAfterMs the time after which a retry may succeed, in milliseconds, zero if unknown
   * @param movedTo the endpoint that holds the chat's cache, null if unknown
   * @param detail the message for the caller
   * @param report the endpoint's report
   * @return the refusal
   */
  static Refusal refusal(
      final AttemptKey key,
      final RefusalKind kind,
      final long retryAfterMs,
      final EndpointId movedTo,
      final String detail,
      final Report report) {
    return Refusal.newBuilder()
        .setRequest(key.request().value())
        .setAttempt(key.attempt())
        .setReason(Refusals.toWire(kind))
        .setRetryAfterMs((int) retryAfterMs)
        .setMovedTo(movedTo == null ? "" : movedTo.value())
        .setReport(report)
        .setDetail(detail)
        .build();
  }

  /**
   * Builds the answer to a cancellation.
   *
   * @param key the attempt
   * @param incarnation the sidecar's incarnation
   * @param notStarted true if the attempt was not started and never will be
   * @return the message
   */
  static Envelope.Builder cancelResult(
      final AttemptKey key, final long incarnation, final boolean notStarted) {
    return Envelope.newBuilder()
        .setCancelResult(
            CancelResult.newBuilder()
                .setRequest(key.request().value())
                .setAttempt(key.attempt())
                .setIncarnation(incarnation)
                .setNotStarted(notStarted));
  }

  /**
   * Builds the answer to a request to resume an attempt.
   *
   * @param key the attempt
   * @param incarnation the sidecar's incarnation
   * @param state the result; parts of the answer follow if it is RESUMED
   * @return the message
   */
  static Envelope.Builder resumeResult(
      final AttemptKey key, final long incarnation, final ResumeState state) {
    return Envelope.newBuilder()
        .setResumeResult(
            ResumeResult.newBuilder()
                .setRequest(key.request().value())
                .setAttempt(key.attempt())
                .setIncarnation(incarnation)
                .setState(state));
  }
}
