package org.bulrushweir.gateway;

import io.netty.channel.ChannelHandlerContext;
import java.util.function.IntSupplier;

/**
 * Holds the request decoder of a caller's connection. A decoder keeps the limit that it was created
 * with, so it is replaced between two requests once another limit is in force.
 */
final class RequestDecoderSlot {

  private final IntSupplier maxHeaderBytes;
  private CallerRequestDecoder decoder;

  /**
   * Creates a slot with a decoder that has the current limit.
   *
   * @param maxHeaderBytes returns the limit for the request line and for the headers, in bytes each
   */
  RequestDecoderSlot(final IntSupplier maxHeaderBytes) {
    this.maxHeaderBytes = maxHeaderBytes;
    this.decoder = new CallerRequestDecoder(maxHeaderBytes.getAsInt());
  }

  /**
   * Returns the decoder that is in use.
   *
   * @return the decoder
   */
  CallerRequestDecoder decoder() {
    return decoder;
  }

  /**
   * Returns whether another limit than the decoder's is in force.
   *
   * @return true until the decoder is replaced
   */
  boolean isOutdated() {
    return decoder.maxHeaderBytes() != maxHeaderBytes.getAsInt();
  }

  /**
   * Replaces the decoder if it is outdated. Must only be called between two requests.
   *
   * @param context a handler of the connection's pipeline
   */
  void renewIfOutdated(final ChannelHandlerContext context) {
    if (!isOutdated() || decoder.hasUndecodedBytes()) {
      return;
    }
    final CallerRequestDecoder renewed = new CallerRequestDecoder(maxHeaderBytes.getAsInt());
    context.pipeline().replace(decoder, null, renewed);
    decoder = renewed;
  }
}
