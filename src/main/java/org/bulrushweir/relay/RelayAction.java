package org.bulrushweir.relay;

import org.bulrushweir.api.EndpointId;

/** Something that is to be done for a request. */
public sealed interface RelayAction {

  /**
   * Send the request.
   *
   * @param attempt the attempt
   * @param endpoint where to
   * @param resume whether the answer goes on after what the caller already has
   */
  record Send(AttemptId attempt, EndpointId endpoint, boolean resume) implements RelayAction {}

  /**
   * Give up an attempt, so that the endpoint stops working on it.
   *
   * @param attempt the attempt
   */
  record Abort(AttemptId attempt) implements RelayAction {}

  /**
   * Pass on the answer of an attempt, head first.
   *
   * @param attempt the attempt
   */
  record Forward(AttemptId attempt) implements RelayAction {}

  /**
   * Go on with the answer of an attempt where an earlier one broke off.
   *
   * @param attempt the attempt
   */
  record ForwardResumed(AttemptId attempt) implements RelayAction {}

  /**
   * Answer the caller instead of an endpoint.
   *
   * @param refusal what to say
   */
  record Refuse(Refusal refusal) implements RelayAction {}

  /**
   * Break off an answer that has begun.
   *
   * @param detail why
   */
  record Truncate(String detail) implements RelayAction {}

  /** The answer is whole. */
  record Complete() implements RelayAction {}
}
