package org.bulrushweir.gateway;

import org.bulrushweir.relay.RelayEvent;

/** The request that an attempt belongs to; reacts to the attempt's events. */
interface AttemptOwner {

  /**
   * Handles an event of an attempt.
   *
   * @param event the event
   */
  void handle(RelayEvent event);

  /**
   * Sends the request on a connection that was acquired for an attempt.
   *
   * @param attempt the attempt
   * @param connection the open connection
   */
  void writeRequest(ExchangeAttempt attempt, EndpointConnection connection);

  /**
   * Returns whether the head of a response has been sent to the caller.
   *
   * @return true if it has
   */
  boolean isResponseStarted();

  /**
   * Returns whether the caller has disconnected.
   *
   * @return true if it has
   */
  boolean isCallerDisconnected();
}
