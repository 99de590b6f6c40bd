package org.bulrushweir.relay;

/** Something that happened to a request. */
public sealed interface RelayEvent {

  /**
   * Nothing of the request was sent: no connection could be opened.
   *
   * @param attempt the attempt
   * @param detail what failed
   */
  record NotSent(AttemptId attempt, String detail) implements RelayEvent {}

  /**
   * The request is being written to an endpoint and may run from now on.
   *
   * @param attempt the attempt
   */
  record Sent(AttemptId attempt) implements RelayEvent {}

  /**
   * An attempt ended without a whole answer; the request may have run.
   *
   * @param attempt the attempt
   * @param detail what failed
   */
  record Broken(AttemptId attempt, String detail) implements RelayEvent {}

  /**
   * The head of an answer came.
   *
   * @param attempt the attempt
   * @param head the head
   */
  record HeadReceived(AttemptId attempt, ResponseHead head) implements RelayEvent {}

  /**
   * More of an answer came.
   *
   * @param attempt the attempt
   */
  record DataReceived(AttemptId attempt) implements RelayEvent {}

  /**
   * An answer came to its end.
   *
   * @param attempt the attempt
   */
  record Ended(AttemptId attempt) implements RelayEvent {}

  /** The caller has closed its connection. */
  record CallerDisconnected() implements RelayEvent {}

  /** Time has passed. */
  record Tick() implements RelayEvent {}
}
