package org.bulrushweir.delivery;

import org.bulrushweir.api.EndpointId;

/** Action that the router carries out for {@link RequestMachine}. */
public sealed interface RequestAction {

  /**
   * Sends an attempt to an endpoint.
   *
   * @param attempt the attempt's number, counted from one
   * @param endpoint the endpoint
   * @param remainingMs the time left until the request's deadline, in milliseconds
   * @param firstTokenMs the time left until the deadline of the first token, in milliseconds, at
   *     least one
   * @param cacheAt the endpoint that has the chat's KV cache, null if unknown
   * @param continuation the text of the answer that the caller has received already, empty if there
   *     is none
   * @param continuationTokens the number of tokens in {@code continuation}
   */
  record Dispatch(
      int attempt,
      EndpointId endpoint,
      long remainingMs,
      long firstTokenMs,
      EndpointId cacheAt,
      String continuation,
      int continuationTokens)
      implements RequestAction {}

  /**
   * Requests the rest of an answer from the attempt's sidecar over a new connection.
   *
   * @param attempt the attempt's number
   * @param endpoint the endpoint
   * @param nextSequence the sequence number of the first part that is missing
   */
  record Resume(int attempt, EndpointId endpoint, int nextSequence) implements RequestAction {}

  /**
   * Requests that the attempt's sidecar stops the attempt, or doesn't start it.
   *
   * @param attempt the attempt's number
   * @param endpoint the endpoint
   */
  record Cancel(int attempt, EndpointId endpoint) implements RequestAction {}

  /**
   * Forwards a part of the answer to the caller.
   *
   * @param part the part
   * @param endpoint the endpoint that produced it
   * @param attempt the attempt that it belongs to
   * @param sequence the part's sequence number
   */
  record Emit(AnswerPart part, EndpointId endpoint, int attempt, int sequence)
      implements RequestAction {}

  /**
   * Ends the request.
   *
   * @param outcome the outcome that is reported to the caller
   */
  record Finish(RequestOutcome outcome) implements RequestAction {}
}
