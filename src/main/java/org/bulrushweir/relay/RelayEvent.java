package org.bulrushweir.relay;

/** An event that concerns a request; the input of its state machine. */
public sealed interface RelayEvent {

  /**
   * No connection for an attempt could be opened; nothing of the request was sent.
   *
   * @param attempt the attempt
   * @param detail a description of the failure for logs
   */
  record NotSent(AttemptId attempt, String detail) implements RelayEvent {}

  /**
   * The endpoint of an attempt stopped accepting requests before anything was sent to it. This is
   * no failure of the endpoint, unlike {@link NotSent}.
   *
   * @param attempt the attempt
   * @param detail why it accepts none, for logs
   */
  record NotAccepted(AttemptId attempt, String detail) implements RelayEvent {}

  /**
   * The router has started to write the request to the endpoint; it may run from now on.
   *
   * @param attempt the attempt
   */
  record Sent(AttemptId attempt) implements RelayEvent {}

  /**
   * An attempt ended without a complete response; the request may have run.
   *
   * @param attempt the attempt
   * @param detail a description of the failure for logs
   */
  record Broken(AttemptId attempt, String detail) implements RelayEvent {}

  /**
   * The head of a response was received.
   *
   * @param attempt the attempt
   * @param head the head
   */
  record HeadReceived(AttemptId attempt, ResponseHead head) implements RelayEvent {}

  /**
   * A further part of the body of a response was received.
   *
   * @param attempt the attempt
   */
  record DataReceived(AttemptId attempt) implements RelayEvent {}

  /**
   * The response of an attempt is complete.
   *
   * @param attempt the attempt
   */
  record Ended(AttemptId attempt) implements RelayEvent {}

  /** The caller has closed its connection. */
  record CallerDisconnected() implements RelayEvent {}

  /** The process is about to exit and waits for no response any more. */
  record ProcessExits() implements RelayEvent {}

  /** The time returned by {@link RelayMachine#nextTickMs} may have been reached. */
  record Tick() implements RelayEvent {}
}
