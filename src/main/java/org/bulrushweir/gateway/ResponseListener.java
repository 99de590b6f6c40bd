package org.bulrushweir.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/** Learns how an endpoint answers a request. */
interface ResponseListener {

  /**
   * Takes the head of the answer.
   *
   * @param response the head
   */
  void head(HttpResponse response);

  /**
   * Takes a part of the answer's body.
   *
   * @param part the part; belongs to the listener
   */
  void part(ByteBuf part);

  /** Notes that the answer is whole. */
  void ended();

  /**
   * Notes that the answer will not be whole.
   *
   * @param detail what happened
   */
  void broken(String detail);
}
