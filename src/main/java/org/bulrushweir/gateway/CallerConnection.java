package org.bulrushweir.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;

/** The connection on which a caller waits for an answer. */
interface CallerConnection {

  /**
   * Names the exchange that answers the request.
   *
   * @param started learns when the caller leaves
   */
  void exchange(Exchange started);

  /**
   * Tells whether the caller is still there.
   *
   * @return false after the connection was closed
   */
  boolean isOpen();

  /**
   * Begins an answer.
   *
   * @param status its status
   * @param headers its headers; with a length if it is known
   */
  void begin(HttpResponseStatus status, HttpHeaders headers);

  /**
   * Passes on a part of the answer's body.
   *
   * @param part the part; is released
   */
  void write(ByteBuf part);

  /** Ends the answer. */
  void end();

  /** Breaks off an answer that has begun, so that it does not look complete. */
  void breakOff();

  /**
   * Answers without an endpoint.
   *
   * @param status the status
   * @param retryAfterMs when to come again, in milliseconds, zero for no advice
   */
  void refuse(HttpResponseStatus status, long retryAfterMs);

  /**
   * Tells whether the caller reads as fast as the answer comes.
   *
   * @return false if parts are piling up
   */
  boolean isWritable();
}
