package org.bulrushweir.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.util.ReferenceCountUtil;

/**
 * Limits the bytes of an endpoint from which the decoder makes no message. The decoder limits the
 * length of each line by itself, but skips any number of empty lines before a response.
 */
final class UndecodedBytesLimit {

  /** The largest number of bytes between two messages: a status line and headers at their limit. */
  private static final int MAX_BYTES = 2 * EndpointResponseDecoder.MAX_HEADER_BYTES;

  private final ChannelHandler beforeDecoder = new BeforeDecoder();
  private final ChannelHandler afterDecoder = new AfterDecoder();
  private long undecodedBytes;

  /** Creates the limit of a new connection. */
  UndecodedBytesLimit() {}

  /**
   * Returns the handler that counts the bytes. It raises a {@link TooLongFrameException} instead of
   * passing on a byte beyond the limit.
   *
   * @return the handler to add before the decoder
   */
  ChannelHandler beforeDecoder() {
    return beforeDecoder;
  }

  /**
   * Returns the handler that notices messages.
   *
   * @return the handler to add after the decoder
   */
  ChannelHandler afterDecoder() {
    return afterDecoder;
  }

  /** Counts bytes. */
  private final class BeforeDecoder extends ChannelInboundHandlerAdapter {

    @Override
    public void channelRead(final ChannelHandlerContext context, final Object message) {
      if (undecodedBytes > MAX_BYTES) {
        ReferenceCountUtil.release(message);
        return;
      }
      undecodedBytes += ((ByteBuf) message).readableBytes();
      context.fireChannelRead(message);
      if (undecodedBytes > MAX_BYTES) {
        context.fireExceptionCaught(
            new TooLongFrameException(MAX_BYTES + " bytes without a response"));
      }
    }
  }

  /** Resets the count at each message. */
  private final class AfterDecoder extends ChannelInboundHandlerAdapter {

    @Override
    public void channelRead(final ChannelHandlerContext context, final Object message) {
      undecodedBytes = 0;
      context.fireChannelRead(message);
    }
  }
}
