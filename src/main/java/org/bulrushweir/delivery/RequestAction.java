package org.bulrushweir.delivery;

import org.bulrushweir.api.EndpointId;

/** Something that the router has to do for a request. */
public sealed interface RequestAction {

  /**
   * Send an attempt to an endpoint.
   *
   * @param attempt the attempt
   * @param endpoint the endpoint
   * @param remainingMs what is left of the request's time, in milliseconds
   * @param firstTokenMs what is left until the first token is due, in milliseconds
   * @param cacheAt the endpoint that has the chat's cache, null if unknown
   * @param continuation the part of the answer that the caller has already
   * @param continuationTokens the number of its tokens
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
   * Ask an attempt's sidecar, over a new connection, for the rest of the answer.
   *
   * @param attempt the attempt
   * @param endpoint the endpoint
   * @param nextSequence the first part that is missing
   */
  record Resume(int attempt, EndpointId endpoint, int nextSequence) implements RequestAction {}

  /**
   * Ask an attempt's sidecar to stop it, or never to start it.
   *
   * @param attempt the attempt
   * @param endpoint the endpoint
   */
  record Cancel(int attempt, EndpointId endpoint) implements RequestAction {}

  /**
   * Pass a part of the answer on to the caller.
   *
   * @param part the part
   * @param endpoint the endpoint that it came from
   * @param attempt the attempt that it came from
   * @param sequence the part's sequence number
   */
  record Emit(AnswerPart part, EndpointId endpoint, int attempt, int sequence)
      implements RequestAction {}

  /**
   * End the request.
   *
   * @param outcome what the caller is told
   */
  record Finish(RequestOutcome outcome) implements RequestAction {}
}
