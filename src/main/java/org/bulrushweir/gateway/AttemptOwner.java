package org.bulrushweir.gateway;

import org.bulrushweir.relay.RelayEvent;

/** Owns attempts of one request and decides what comes of them. */
interface AttemptOwner {

  /**
   * Takes note of what happened.
   *
   * @param event the event
   */
  void handle(RelayEvent event);

  /**
   * Sends the request on a connection that was opened for it.
   *
   * @param attempt the attempt
   * @param connection the connection
   */
  void send(ExchangeAttempt attempt, EndpointConnection connection);

  /**
   * Tells whether the caller has been sent the head of an answer.
   *
   * @return true if it has
   */
  boolean hasBegun();

  /**
   * Tells whether the caller has gone.
   *
   * @return true if it has
   */
  boolean callerLeft();
}
