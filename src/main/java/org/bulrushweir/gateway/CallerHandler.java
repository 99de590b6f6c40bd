package org.bulrushweir.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.bulrushweir.catalog.CallerLimits;

/** Reads a caller's requests one after another and writes their answers. */
final class CallerHandler extends ChannelInboundHandlerAdapter implements CallerConnection {

  /** How much of the next requests is read ahead, in messages, before reading pauses. */
  private static final int MAX_WAITING = 16;

  private static final double MS_PER_SECOND = 1_000;

  private final Deque<HttpObject> waiting = new ArrayDeque<>();
  private final GatewayCore core;
  private final CallerLimits limits;
  private final RequestHeadTimer headTimer;
  private ChannelHandlerContext context;
  private ScheduledFuture<?> timer;
  private HttpRequest request;
  private ByteBuf body;
  private Exchange exchange;
  private boolean answering;
  private boolean keepAlive;
  private boolean chunked;
  private boolean discarding;
  private long quietSinceMs;

  /**
   * Creates the handler of one connection.
   *
   * @param core serves the requests
   * @param headTimer tells since when a head is incomplete
   */
  CallerHandler(final GatewayCore core, final RequestHeadTimer headTimer) {
    this.core = core;
    this.limits = core.limits();
    this.headTimer = headTimer;
  }

  @Override
  public void handlerAdded(final ChannelHandlerContext added) {
    context = added;
    quietSinceMs = core.nowMs();
  }

  @Override
  public void channelActive(final ChannelHandlerContext active) {
    core.opened(this);
    scheduleTimer();
    active.fireChannelActive();
  }

  @Override
  public void channelRead(final ChannelHandlerContext reading, final Object message) {
    if (discarding) {
      ReferenceCountUtil.release(message);
      return;
    }
    if (answering) {
      waiting.addLast((HttpObject) message);
      if (waiting.size() >= MAX_WAITING) {
        context.channel().config().setAutoRead(false);
      }
      return;
    }
    take((HttpObject) message);
  }

  private void take(final HttpObject message) {
    quietSinceMs = core.nowMs();
    if (message.decoderResult().isFailure()) {
      ReferenceCountUtil.release(message);
      malformed(message.decoderResult().cause());
      return;
    }
    if (message instanceof HttpRequest head) {
      takeHead(head);
    }
    if (!discarding && message instanceof HttpContent content) {
      takeContent(content);
      return;
    }
    ReferenceCountUtil.release(message);
  }

  private void malformed(final Throwable cause) {
    final boolean tooLong = cause instanceof TooLongFrameException;
    refuseAndClose(
        tooLong
            ? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
            : HttpResponseStatus.BAD_REQUEST);
  }

  private void takeHead(final HttpRequest head) {
    request = head;
    keepAlive = HttpUtil.isKeepAlive(head);
    if (!CallerRequestDecoder.isUnambiguous(head)) {
      refuseAndClose(HttpResponseStatus.BAD_REQUEST);
      return;
    }
    final long length = HttpUtil.getContentLength(head, 0L);
    if (length > limits.maxBodyBytes()) {
      refuseAndClose(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
      return;
    }
    if (HttpUtil.is100ContinueExpected(head)) {
      context.writeAndFlush(
          new DefaultFullHttpResponse(
              HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
    }
    body = length > 0 ? Unpooled.buffer((int) length) : Unpooled.buffer(0);
  }

  private void takeContent(final HttpContent content) {
    if (body.readableBytes() + content.content().readableBytes() > limits.maxBodyBytes()) {
      content.release();
      refuseAndClose(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
      return;
    }
    body.writeBytes(content.content());
    content.release();
    if (content instanceof LastHttpContent) {
      serve();
    }
  }

  private void serve() {
    answering = true;
    final HttpRequest served = request;
    final ByteBuf servedBody = body;
    request = null;
    body = null;
    core.serve(this, served, servedBody);
  }

  @Override
  public void exchange(final Exchange started) {
    exchange = started;
  }

  @Override
  public boolean isOpen() {
    return context.channel().isActive();
  }

  /** Refuses a request whose end can't be found or is not worth reading, and closes. */
  private void refuseAndClose(final HttpResponseStatus status) {
    core.log().refused("", status.code(), "unread");
    discarding = true;
    keepAlive = false;
    answering = true;
    request = null;
    body = null;
    refuse(status, 0);
  }

  @Override
  public void begin(final HttpResponseStatus status, final HttpHeaders headers) {
    final boolean hasLength = headers.contains(HttpHeaderNames.CONTENT_LENGTH);
    final boolean bodyless =
        status.code() == HttpResponseStatus.NO_CONTENT.code()
            || status.code() == HttpResponseStatus.NOT_MODIFIED.code();
    chunked = !hasLength && !bodyless;
    if (chunked) {
      headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
    }
    if (!staysOpen()) {
      headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
    context.writeAndFlush(new DefaultHttpResponse(HttpVersion.HTTP_1_1, status, headers));
  }

  private boolean staysOpen() {
    keepAlive = keepAlive && !core.isDraining();
    return keepAlive;
  }

  @Override
  public void write(final ByteBuf part) {
    context.writeAndFlush(new DefaultHttpContent(part));
  }

  @Override
  public void end() {
    finish(LastHttpContent.EMPTY_LAST_CONTENT);
  }

  @Override
  public void breakOff() {
    exchange = null;
    answering = false;
    discarding = true;
    context.close();
  }

  @Override
  public void refuse(final HttpResponseStatus status, final long retryAfterMs) {
    final HttpHeaders headers = new DefaultHttpHeaders();
    headers.set(HttpHeaderNames.CONTENT_LENGTH, HttpHeaderValues.ZERO);
    if (retryAfterMs > 0) {
      headers.set(HttpHeaderNames.RETRY_AFTER, Double.toString(retryAfterMs / MS_PER_SECOND));
    }
    if (!staysOpen()) {
      headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
    finish(
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            status,
            Unpooled.EMPTY_BUFFER,
            headers,
            EmptyHttpHeaders.INSTANCE));
  }

  private void finish(final HttpObject last) {
    exchange = null;
    if (!keepAlive) {
      discarding = true;
      context.writeAndFlush(last).addListener(ChannelFutureListener.CLOSE);
      answering = false;
      return;
    }
    context.writeAndFlush(last, context.voidPromise());
    answering = false;
    quietSinceMs = core.nowMs();
    if (!waiting.isEmpty()) {
      context.executor().execute(this::takeWaiting);
    }
  }

  private void takeWaiting() {
    while (!answering && !waiting.isEmpty()) {
      take(waiting.removeFirst());
    }
    if (waiting.isEmpty() && !context.channel().config().isAutoRead()) {
      context.channel().config().setAutoRead(true);
    }
  }

  @Override
  public boolean isWritable() {
    return context.channel().isWritable();
  }

  @Override
  public void channelWritabilityChanged(final ChannelHandlerContext changed) {
    if (exchange != null) {
      exchange.callerWritable(isWritable());
    }
    changed.fireChannelWritabilityChanged();
  }

  @Override
  public void channelInactive(final ChannelHandlerContext inactive) {
    core.closed(this);
    if (timer != null) {
      timer.cancel(false);
    }
    waiting.forEach(ReferenceCountUtil::release);
    waiting.clear();
    if (exchange != null) {
      final Exchange given = exchange;
      exchange = null;
      given.callerGone();
    }
    inactive.fireChannelInactive();
  }

  @Override
  public void exceptionCaught(final ChannelHandlerContext failed, final Throwable cause) {
    core.log().callerFailed(cause);
    failed.close();
  }

  /** Closes the connection if no request is being read or answered. */
  void closeIfIdle() {
    if (!answering && request == null && !headTimer.isWithinHead()) {
      context.close();
    }
  }

  private void scheduleTimer() {
    timer =
        context
            .executor()
            .schedule(this::checkTime, limits.headerTimeoutMs(), TimeUnit.MILLISECONDS);
  }

  /** Closes a connection that is idle, and refuses a request that does not come to its end. */
  private void checkTime() {
    final long nowMs = core.nowMs();
    if (!answering && !discarding) {
      final boolean slowHead =
          headTimer.isWithinHead() && nowMs - headTimer.headSinceMs() >= limits.headerTimeoutMs();
      final boolean idle = nowMs - quietSinceMs >= limits.idleTimeoutMs();
      if (slowHead || request != null && idle) {
        refuseAndClose(HttpResponseStatus.REQUEST_TIMEOUT);
        return;
      }
      if (idle) {
        context.close();
        return;
      }
    }
    scheduleTimer();
  }
}
