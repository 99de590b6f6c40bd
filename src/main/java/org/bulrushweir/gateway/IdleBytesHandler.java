package org.bulrushweir.gateway;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;

/**
 * Keeps bytes that arrive while no request is waiting from the decoder, which would keep the start
 * of a head and continue it with the next response.
 */
final class IdleBytesHandler extends ChannelInboundHandlerAdapter {

  private final EndpointConnection connection;

  /**
   * Creates the handler of a connection.
   *
   * @param connection the connection
   */
  IdleBytesHandler(final EndpointConnection connection) {
    this.connection = connection;
  }

  @Override
  public void channelRead(final ChannelHandlerContext context, final Object message) {
    if (connection.isAwaitingResponse()) {
      context.fireChannelRead(message);
      return;
    }
    ReferenceCountUtil.release(message);
    connection.onIdleBytes();
  }
}
