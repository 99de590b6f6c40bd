package org.bulrushweir.gateway;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;
import org.bulrushweir.api.Clock;

/**
 * Measures how long the head of a caller's request has been incomplete, and when its first byte may
 * have arrived.
 *
 * <p>It consists of one handler before the request decoder, which sees the first bytes of a
 * request, and one behind it, which sees the decoded head.
 */
final class RequestHeadTimer {

  private final Clock clock;
  private final UnreadTime unread;
  private boolean betweenRequests = true;
  private long headStartedMs = -1;
  private long headArrivedMs;
  private long bytesArrivedMs;
  private long requestArrivedMs;

  /**
   * Creates the shared state of the two handlers.
   *
   * @param clock the process's clock
   * @param unread tells since when bytes may have waited when they are read
   */
  RequestHeadTimer(final Clock clock, final UnreadTime unread) {
    this.clock = clock;
    this.unread = unread;
    this.requestArrivedMs = clock.nowMs();
  }

  boolean isHeadIncomplete() {
    return headStartedMs >= 0;
  }

  long headStartedMs() {
    return headStartedMs;
  }

  /**
   * Returns the earliest time at which the first byte of the last request whose head was decoded
   * may have arrived.
   *
   * @return the time in Unix milliseconds
   */
  long requestArrivedMs() {
    return requestArrivedMs;
  }

  /**
   * Returns the handler to install before the decoder; it receives bytes.
   *
   * @param slot holds the decoder, which may be replaced when the bytes start a request
   * @return the handler
   */
  ChannelInboundHandlerAdapter beforeDecoder(final RequestDecoderSlot slot) {
    return new ChannelInboundHandlerAdapter() {
      @Override
      public void channelRead(final ChannelHandlerContext context, final Object message) {
        bytesArrivedMs = unread.sinceMs();
        if (betweenRequests && !isHeadIncomplete()) {
          slot.renewIfOutdated(context);
        }
        startHead();
        context.fireChannelRead(message);
        if (slot.decoder().hasUndecodedBytes()) {
          startHead();
        }
      }
    };
  }

  /** Records that the first bytes of a head have been read, unless they were before. */
  private void startHead() {
    if (betweenRequests && headStartedMs < 0) {
      headStartedMs = clock.nowMs();
      headArrivedMs = bytesArrivedMs;
    }
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
          requestArrivedMs = headStartedMs < 0 ? bytesArrivedMs : headArrivedMs;
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
