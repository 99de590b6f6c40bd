package org.bulrushweir.gateway;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;
import org.bulrushweir.api.Clock;

/**
 * Measures how long the head of a caller's request has been incomplete.
 *
 * <p>It consists of one handler before the request decoder, which sees the first bytes of a
 * request, and one behind it, which sees the decoded head.
 */
final class RequestHeadTimer {

  private final Clock clock;
  private boolean betweenRequests = true;
  private long headStartedMs = -1;

  /**
   * Creates the shared state of the two handlers.
   *
   * @param clock the process's clock
   */
  RequestHeadTimer(final Clock clock) {
    this.clock = clock;
  }

  boolean isHeadIncomplete() {
    return headStartedMs >= 0;
  }

  long headStartedMs() {
    return headStartedMs;
  }

  /**
   * Returns the handler to install before the decoder; it receives bytes.
   *
   * @return the handler
   */
  ChannelInboundHandlerAdapter beforeDecoder() {
    return new ChannelInboundHandlerAdapter() {
      @Override
      public void channelRead(final ChannelHandlerContext context, final Object message) {
        if (betweenRequests && headStartedMs < 0) {
          headStartedMs = clock.nowMs();
        }
        context.fireChannelRead(message);
      }
    };
  }

  /**
   * Returns the handler to install behind the decoder; it receives decoded messages.
   *
   * @return the handler
   */
  ChannelInboundHandlerAdapter afterDecoder() {
    return new ChannelInboundHandlerAdapter() {
      @Override
      public void channelRead(final ChannelHandlerContext context, final Object message) {
        if (message instanceof HttpRequest) {
          headStartedMs = -1;
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
