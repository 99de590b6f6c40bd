package org.bulrushweir.delivery;

import org.bulrushweir.api.EndpointId;

/** State of one attempt of a request, kept by the router. */
final class Attempt {

  /** Progress of an attempt as far as the router can tell. */
  enum State {
    /** Sent; the endpoint has not replied yet. */
    SENT,
    /** Queued or running at the endpoint. */
    ACCEPTED,
    /** The connection was lost; the router asks the sidecar for the rest of the answer. */
    RESUMING,
    /** A cancellation was sent; its result is still pending. */
    CANCELLING,
    /** Finished for the router; all further events of the attempt are ignored. */
    SETTLED
  }

  private final AnswerAssembler assembler;
  private final int number;
  private final EndpointId endpoint;
  private State state = State.SENT;
  private AttemptEnd.Ran end;
  private long timeoutAtMs = Long.MAX_VALUE;
  private long resumeAtMs = Long.MAX_VALUE;

  /**
   * Creates an attempt that is about to be sent.
   *
   * @param number the attempt's number within the request, counted from one
   * @param endpoint the endpoint that it is sent to
   * @param nextSequence the sequence number of the first part of its answer that is missing
   */
  Attempt(final int number, final EndpointId endpoint, final int nextSequence) {
    this.number = number;
    this.endpoint = endpoint;
    this.assembler = new AnswerAssembler(nextSequence);
  }

  int number() {
    return number;
  }

  EndpointId endpoint() {
    return endpoint;
  }

  AnswerAssembler assembler() {
    return assembler;
  }

  State state() {
    return state;
  }

  boolean isLive() {
    return state != State.SETTLED;
  }

  AttemptEnd.Ran end() {
    return end;
  }

  long timeoutAtMs() {
    return timeoutAtMs;
  }

  long resumeAtMs() {
    return resumeAtMs;
  }

  /**
   * Records that the endpoint has the attempt and that the connection to it works, and clears the
   * timers of a resumption.
   */
  void markAccepted() {
    if (state == State.SENT || state == State.RESUMING) {
      state = State.ACCEPTED;
      timeoutAtMs = Long.MAX_VALUE;
      resumeAtMs = Long.MAX_VALUE;
    }
  }

  /** Marks the attempt as finished and clears its timers. */
  void settle() {
    state = State.SETTLED;
    timeoutAtMs = Long.MAX_VALUE;
    resumeAtMs = Long.MAX_VALUE;
  }

  /**
   * Enters the state {@link State#RESUMING} and sets its timeout; has no effect in that state, so
   * that repeated connection losses don't extend the timeout.
   *
   * @param expiryMs when the attempt counts as failed, in milliseconds of the router's clock
   */
  void startResuming(final long expiryMs) {
    if (state == State.RESUMING) {
      return;
    }
    state = State.RESUMING;
    timeoutAtMs = expiryMs;
  }

  void resumeAt(final long timeMs) {
    resumeAtMs = timeMs;
  }

  /**
   * Enters the state {@link State#CANCELLING} and sets its timeout.
   *
   * @param expiryMs when the attempt counts as failed, in milliseconds of the router's clock
   */
  void startCancelling(final long expiryMs) {
    state = State.CANCELLING;
    timeoutAtMs = expiryMs;
    resumeAtMs = Long.MAX_VALUE;
  }

  void recordEnd(final AttemptEnd.Ran ran) {
    end = ran;
    assembler.setPartCount(ran.parts());
  }

  boolean hasCompleteAnswer() {
    return end != null && assembler.isComplete();
  }
}
