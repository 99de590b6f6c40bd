package org.bulrushweir.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import org.bulrushweir.relay.ResponseFraming;

/** Receives an endpoint's response to a request. */
interface ResponseListener {

  /** Handles that the endpoint has taken the body but for its last part, which is held back. */
  void onBodyTaken();

  /**
   * Handles the status line and headers.
   *
   * @param response the head of the response
   * @param framing by what the end of the body is recognised
   */
  void onHead(HttpResponse response, ResponseFraming framing);

  /**
   * Handles a part of the body.
   *
   * @param part the data; the listener releases it
   */
  void onPart(ByteBuf part);

  /** Handles the end of a complete response. */
  void onEnd();

  /**
   * Handles the failure of an incomplete response.
   *
   * @param detail the cause, for the log
   */
  void onBroken(String detail);
}
