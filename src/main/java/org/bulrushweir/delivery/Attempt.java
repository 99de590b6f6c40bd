package org.bulrushweir.delivery;

import org.bulrushweir.api.EndpointId;

/** Tracks one attempt of a request at the router. */
final class Attempt {

  /** How far an attempt has come. */
  enum State {
    /** Sent, nothing heard yet. */
    SENT,
    /** Queued or running at the endpoint. */
    ACCEPTED,
    /** The connection is lost; the sidecar is being asked for the rest. */
    RESUMING,
    /** A cancellation has been sent. */
    CANCELLING,
    /** Nothing more is expected. */
    SETTLED
  }

  private final AnswerAssembler assembler;
  private final int number;
  private final EndpointId endpoint;
  private State state = State.SENT;
  private AttemptEnd.Ran end;
  private long giveUpAtMs = Long.MAX_VALUE;
  private long resumeAtMs = Long.MAX_VALUE;

  /**
   * Creates an attempt that is about to be sent.
   *
   * @param number counts the attempts of the request from one
   * @param endpoint where it is sent
   * @param nextSequence the first part of its answer that is missing
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

  long giveUpAtMs() {
    return giveUpAtMs;
  }

  long resumeAtMs() {
    return resumeAtMs;
  }

  /** Takes note that the endpoint has the attempt, and that the connection works. */
  void accept() {
    if (state == State.SENT || state == State.RESUMING) {
      state = State.ACCEPTED;
      giveUpAtMs = Long.MAX_VALUE;
      resumeAtMs = Long.MAX_VALUE;
    }
  }

  /** Takes note that nothing more is expected. */
  void settle() {
    state = State.SETTLED;
    giveUpAtMs = Long.MAX_VALUE;
    resumeAtMs = Long.MAX_VALUE;
  }

  /**
   * Starts asking for the rest of the answer, unless that is under way.
   *
   * @param giveUpMs when the attempt is given up
   */
  void startResuming(final long giveUpMs) {
    if (state == State.RESUMING) {
      return;
    }
    state = State.RESUMING;
    giveUpAtMs = giveUpMs;
  }

  void resumeAt(final long timeMs) {
    resumeAtMs = timeMs;
  }

  /**
   * Starts waiting for the answer to a cancellation.
   *
   * @param giveUpMs when the attempt is given up
   */
  void startCancelling(final long giveUpMs) {
    state = State.CANCELLING;
    giveUpAtMs = giveUpMs;
    resumeAtMs = Long.MAX_VALUE;
  }

  void endWith(final AttemptEnd.Ran ran) {
    end = ran;
    assembler.setPartCount(ran.parts());
  }

  boolean isWhole() {
    return end != null && assembler.isComplete();
  }
}
