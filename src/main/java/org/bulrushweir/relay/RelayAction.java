package org.bulrushweir.relay;

import org.bulrushweir.api.EndpointId;

/** An action that the state machine of a request requests from its driver. */
public sealed interface RelayAction {

  /**
   * Sends the request to an endpoint.
   *
   * @param attempt the new attempt
   * @param endpoint the endpoint
   * @param resume whether the stream resumes after the events that the caller already has
   */
  record Send(AttemptId attempt, EndpointId endpoint, boolean resume) implements RelayAction {}

  /**
   * Aborts an attempt, so that the endpoint stops processing it.
   *
   * @param attempt the attempt
   */
  record Abort(AttemptId attempt) implements RelayAction {}

  /**
   * Forwards the response of an attempt to the caller, starting with the head.
   *
   * @param attempt the attempt
   */
  record Forward(AttemptId attempt) implements RelayAction {}

  /**
   * Continues the response that an earlier attempt left incomplete with the response of another
   * attempt.
   *
   * @param attempt the attempt that resumes the response
   */
  record ForwardResumed(AttemptId attempt) implements RelayAction {}

  /**
   * Answers the caller with a refusal instead of an endpoint's response.
   *
   * @param refusal the refusal
   */
  record Refuse(Refusal refusal) implements RelayAction {}

  /**
   * Cuts off a response that the caller has received in part.
   *
   * @param detail a description of the failure for logs
   */
  record Truncate(String detail) implements RelayAction {}

  /** Ends the response to the caller, which is complete. */
  record Complete() implements RelayAction {}
}
