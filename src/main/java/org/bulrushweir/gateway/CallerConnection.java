package org.bulrushweir.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;

/** The connection of a caller that waits for the response to its request. */
interface CallerConnection {

  /**
   * Attaches the exchange that serves the request.
   *
   * @param exchange the exchange, which is notified when the caller disconnects
   */
  void attach(Exchange exchange);

  /**
   * Returns whether the connection is open.
   *
   * @return false after it was closed
   */
  boolean isOpen();

  /**
   * Returns since when what the caller has sent, its close included, may be unread.
   *
   * @return the time in Unix milliseconds
   */
  long unreadSinceMs();

  /**
   * Starts the response.
   *
   * @param status the status
   * @param headers the headers, with {@code Content-Length} if the length is known; without it the
   *     body is sent chunked
   */
  void startResponse(HttpResponseStatus status, HttpHeaders headers);

  /**
   * Sends a part of the response body.
   *
   * @param part the data; ownership passes to the connection
   */
  void write(ByteBuf part);

  /** Completes the response. */
  void endResponse();

  /**
   * Aborts a started response by closing the connection, so that the caller does not take the
   * response for complete.
   */
  void abort();

  /**
   * Sends a response without a body instead of an endpoint's.
   *
   * @param status the status
   * @param retryAfterMs the {@code Retry-After} delay, in milliseconds, zero to send none
   */
  void refuse(HttpResponseStatus status, long retryAfterMs);

  /**
   * Returns whether the caller reads as fast as the response arrives.
   *
   * @return false if unsent data exceeds the limit of the connection
   */
  boolean isWritable();
}
