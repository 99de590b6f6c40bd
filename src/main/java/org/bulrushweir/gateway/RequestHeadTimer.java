package org.bulrushweir.gateway;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;
import org.bulrushweir.api.Clock;

/** Notes since when the head of a caller's request is incomplete. */
final class RequestHeadTimer {

  private final Clock clock;
  private boolean betweenRequests = true;
  private long headSinceMs = -1;

  /**
   * Creates the two handlers' common state.
   *
   * @param clock the clock
   */
  RequestHeadTimer(final Clock clock) {
    this.clock = clock;
  }

  boolean isWithinHead() {
    return headSinceMs >= 0;
  }

  long headSinceMs() {
    return headSinceMs;
  }

  /**
   * Returns the handler before the decoder, which sees bytes.
   *
   * @return the handler
   */
  ChannelInboundHandlerAdapter before() {
    return new ChannelInboundHandlerAdapter() {
      @Override
      public void channelRead(final ChannelHandlerContext context, final Object message) {
        if (betweenRequests && headSinceMs < 0) {
          headSinceMs = clock.nowMs();
        }
        context.fireChannelRead(message);
      }
    };
  }

  /**
   * Returns the handler after the decoder, which sees messages.
   *
   * @return the handler
   */
  ChannelInboundHandlerAdapter after() {
    return new ChannelInboundHandlerAdapter() {
      @Override
      public void channelRead(final ChannelHandlerContext context, final Object message) {
        if (message instanceof HttpRequest) {
          headSinceMs = -1;
          betweenRequests = false;
        }
        if (message instanceof LastHttpContent) {
          betweenRequests = true;
        }
        context.fireChannelRead(message);
      }
    };
  }
}
