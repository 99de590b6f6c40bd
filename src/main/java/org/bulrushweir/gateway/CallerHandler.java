package org.bulrushweir.gateway;

import com.google.common.flogger.FluentLogger;
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
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.Optional;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.bulrushweir.catalog.CallerLimits;
import org.bulrushweir.relay.CallerPipeline;

/**
 * Reads a caller's requests and writes the responses. {@link CallerPipeline} decides which message
 * is handled next and whether the connection stays open.
 */
final class CallerHandler extends ChannelInboundHandlerAdapter implements CallerConnection {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private static final double MS_PER_SECOND = 1_000;

  /** The time within which a caller that opens a connection sends its request, in milliseconds. */
  private static final long FIRST_REQUEST_MS = 400;

  /** The memory that is reserved for a body by its stated length alone, in bytes. */
  private static final long MAX_RESERVED_BODY_BYTES = CallerLimits.DEFAULT.maxBodyBytes();

  private final CallerPipeline<Received> pipeline = new CallerPipeline<>();
  private final GatewayCore core;
  private final RequestDecoderSlot decoder;
  private final RequestHeadTimer headTimer;
  private final UnreadTime unread;
  private ChannelHandlerContext context;
  private ScheduledFuture<?> timer;
  private HttpRequest request;
  private ByteBuf body;
  private Exchange exchange;
  private boolean answersHead;
  private boolean requestSeen;
  private long openedMs;
  private long lastActivityMs;
  private long requestArrivedMs;

  /**
   * Creates the handler of one connection.
   *
   * @param core serves the requests
   * @param decoder holds the decoder of the connection's requests
   * @param headTimer measures how long the head of a request has been incomplete
   * @param unread tells since when the connection may be unread
   */
  CallerHandler(
      final GatewayCore core,
      final RequestDecoderSlot decoder,
      final RequestHeadTimer headTimer,
      final UnreadTime unread) {
    this.core = core;
    this.decoder = decoder;
    this.headTimer = headTimer;
    this.unread = unread;
  }

  @Override
  public void handlerAdded(final ChannelHandlerContext added) {
    context = added;
    openedMs = core.nowMs();
    lastActivityMs = openedMs;
  }

  @Override
  public void channelActive(final ChannelHandlerContext active) {
    core.connectionOpened(this);
    scheduleTimer();
    active.fireChannelActive();
  }

  @Override
  public void channelRead(final ChannelHandlerContext reading, final Object message) {
    final boolean overflowedBefore = pipeline.hasOverflowed();
    if (!pipeline.add(new Received((HttpObject) message, headTimer.requestArrivedMs()))) {
      ReferenceCountUtil.release(message);
      if (!overflowedBefore && pipeline.hasOverflowed()) {
        logOverflow();
      }
      return;
    }
    handleNext();
  }

  /** Handles the messages that have arrived, up to the end of a request that is served. */
  private void handleNext() {
    Optional<Received> next = pipeline.next();
    while (next.isPresent()) {
      handleMessage(next.get().message(), next.get().requestArrivedMs());
      next = pipeline.next();
    }
    if (pipeline.isOverflowDue()) {
      refuseAndClose(HttpResponseStatus.SERVICE_UNAVAILABLE);
    }
  }

  private void logOverflow() {
    logger.atInfo().log(
        "the queue of caller %s is full: the next request is refused, and its connection ends",
        context.channel().remoteAddress());
  }

  private void handleMessage(final HttpObject message, final long arrivedMs) {
    lastActivityMs = core.nowMs();
    if (message.decoderResult().isFailure()) {
      ReferenceCountUtil.release(message);
      refuseMalformed(message.decoderResult().cause());
      return;
    }
    if (message instanceof HttpRequest head) {
      requestSeen = true;
      requestArrivedMs = arrivedMs;
      handleHead(head);
    }
    if (!pipeline.isClosing() && message instanceof HttpContent content) {
      handleContent(content);
      return;
    }
    ReferenceCountUtil.release(message);
  }

  private void refuseMalformed(final Throwable cause) {
    if (!(cause instanceof TooLongFrameException)) {
      refuseAndClose(HttpResponseStatus.BAD_REQUEST);
      return;
    }
    refuseBeyondLimit(HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, !decoder.isOutdated());
  }

  /**
   * Refuses a request beyond a limit: for good if that limit is in force, else for now.
   *
   * @param denied the status that refuses it for good
   * @param current whether the limit is the one of the active plan
   */
  private void refuseBeyondLimit(final HttpResponseStatus denied, final boolean current) {
    if (current && core.isPlanConfirmed()) {
      refuseAndClose(denied);
      return;
    }
    refuseAndClose(HttpResponseStatus.SERVICE_UNAVAILABLE, core.retryAfterMs());
  }

  private void handleHead(final HttpRequest head) {
    request = head;
    if (!CallerRequestDecoder.isUnambiguous(head)) {
      refuseAndClose(HttpResponseStatus.BAD_REQUEST);
      return;
    }
    final long length = HttpUtil.getContentLength(head, 0L);
    if (length > core.limits().maxBodyBytes()) {
      refuseBeyondLimit(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, true);
      return;
    }
    if (HttpUtil.is100ContinueExpected(head)) {
      context.writeAndFlush(
          new DefaultFullHttpResponse(
              HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
    }
    body = Unpooled.buffer((int) Math.min(length, MAX_RESERVED_BODY_BYTES));
  }

  private void handleContent(final HttpContent content) {
    if (body.readableBytes() + content.content().readableBytes() > core.limits().maxBodyBytes()) {
      content.release();
      refuseBeyondLimit(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, true);
      return;
    }
    body.writeBytes(content.content());
    content.release();
    if (content instanceof LastHttpContent) {
      serve();
    }
  }

  private void serve() {
    final HttpRequest served = request;
    final ByteBuf servedBody = body;
    request = null;
    body = null;
    answersHead = HttpMethod.HEAD.equals(served.method());
    pipeline.startServing(HttpUtil.isKeepAlive(served));
    core.serve(this, served, servedBody, requestArrivedMs);
  }

  @Override
  public void attach(final Exchange started) {
    exchange = started;
  }

  @Override
  public boolean isOpen() {
    return context.channel().isActive();
  }

  @Override
  public long unreadSinceMs() {
    return unread.sinceMs();
  }

  /**
   * Refuses a request before it was received completely and closes the connection: the end of the
   * request is unknown or not worth waiting for.
   */
  private void refuseAndClose(final HttpResponseStatus status) {
    refuseAndClose(status, 0);
  }

  private void refuseAndClose(final HttpResponseStatus status, final long retryAfterMs) {
    core.log().recordRefusal("", status.code(), "unread");
    request = null;
    body = null;
    pipeline.startServing(false);
    refuse(status, retryAfterMs);
  }

  @Override
  public void startResponse(final HttpResponseStatus status, final HttpHeaders headers) {
    final boolean hasLength = headers.contains(HttpHeaderNames.CONTENT_LENGTH);
    // Not even a last chunk may follow: the caller would take it for the next response.
    final boolean bodyless =
        answersHead
            || status.code() == HttpResponseStatus.NO_CONTENT.code()
            || status.code() == HttpResponseStatus.NOT_MODIFIED.code();
    if (!hasLength && !bodyless) {
      headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
    }
    announceCloseIfLast(headers);
    context.writeAndFlush(new DefaultHttpResponse(HttpVersion.HTTP_1_1, status, headers));
  }

  private void announceCloseIfLast(final HttpHeaders headers) {
    if (!pipeline.startResponse(core.isDraining())) {
      headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
  }

  @Override
  public void write(final ByteBuf part) {
    context.writeAndFlush(new DefaultHttpContent(part));
  }

  @Override
  public void endResponse() {
    finish(LastHttpContent.EMPTY_LAST_CONTENT);
  }

  @Override
  public void abort() {
    exchange = null;
    pipeline.close();
    context.close();
  }

  @Override
  public void refuse(final HttpResponseStatus status, final long retryAfterMs) {
    final HttpHeaders headers = new DefaultHttpHeaders();
    headers.set(HttpHeaderNames.CONTENT_LENGTH, HttpHeaderValues.ZERO);
    if (retryAfterMs > 0) {
      headers.set(HttpHeaderNames.RETRY_AFTER, Double.toString(retryAfterMs / MS_PER_SECOND));
    }
    announceCloseIfLast(headers);
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
    lastActivityMs = core.nowMs();
    if (!pipeline.endResponse()) {
      context.writeAndFlush(last).addListener(ChannelFutureListener.CLOSE);
      return;
    }
    context.writeAndFlush(last, context.voidPromise());
    if (pipeline.hasWaiting()) {
      context.executor().execute(this::handleNext);
    }
  }

  @Override
  public boolean isWritable() {
    return context.channel().isWritable();
  }

  @Override
  public void channelWritabilityChanged(final ChannelHandlerContext changed) {
    if (exchange != null) {
      exchange.onWritabilityChanged(isWritable());
    }
    changed.fireChannelWritabilityChanged();
  }

  @Override
  public void channelInactive(final ChannelHandlerContext inactive) {
    core.connectionClosed(this);
    if (timer != null) {
      timer.cancel(false);
    }
    pipeline.close();
    for (Optional<Received> waiting = pipeline.discard();
        waiting.isPresent();
        waiting = pipeline.discard()) {
      ReferenceCountUtil.release(waiting.get().message());
    }
    if (exchange != null) {
      final Exchange abandoned = exchange;
      exchange = null;
      abandoned.onCallerDisconnected();
    }
    inactive.fireChannelInactive();
  }

  @Override
  public void exceptionCaught(final ChannelHandlerContext failed, final Throwable cause) {
    core.log().recordCallerFailure(cause);
    failed.close();
  }

  /**
   * Closes the connection if no request is being received, waits or is being answered, unless the
   * caller has just opened it and may be about to send.
   */
  void closeIfIdle() {
    final boolean receiving =
        request != null
            || headTimer.isHeadIncomplete()
            || !requestSeen && core.nowMs() - openedMs < FIRST_REQUEST_MS;
    if (!pipeline.isBusy() && !pipeline.isClosing() && !receiving && !pipeline.hasWaiting()) {
      closeAfterSending();
    }
  }

  /** Closes the connection once the caller has taken what was written; ignores what it sends. */
  private void closeAfterSending() {
    pipeline.close();
    lastActivityMs = core.nowMs();
    context.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
  }

  /**
   * Answers the request before the process exits, unless its response has started. One that was
   * received in part is refused as not run.
   */
  void answerBeforeExit() {
    if (exchange != null) {
      exchange.answerBeforeExit();
    } else if (request != null && !pipeline.isBusy() && !pipeline.isClosing()) {
      refuseAndClose(HttpResponseStatus.SERVICE_UNAVAILABLE);
    }
  }

  /**
   * Returns whether a request that was received still has to be answered, or its answer has to be
   * sent. A response that the end of the process cuts off does not count.
   *
   * @return false if the process may exit
   */
  boolean awaitsAnswer() {
    final boolean responding = exchange != null;
    return !responding && (pipeline.isBusy() || pipeline.hasWaiting() || pipeline.isClosing());
  }

  /** Ends the current attempt of the request if its endpoint would crash when it responds. */
  void cancelIfQuarantined() {
    if (exchange != null) {
      exchange.cancelIfQuarantined();
    }
  }

  /** Records the request that the end of the process cuts off, if there is one. */
  void recordCutOff() {
    if (exchange != null) {
      exchange.recordCutOff();
    } else if (pipeline.isBusy()) {
      core.log().recordCutOffBeforeStart(core.stopDetail(lastActivityMs));
    }
  }

  private void scheduleTimer() {
    timer =
        context
            .executor()
            .schedule(this::checkTimeouts, core.limits().headerTimeoutMs(), TimeUnit.MILLISECONDS);
  }

  /**
   * Closes the connection if it is idle or if the caller does not take its last response, and
   * refuses a request that is not received in time.
   */
  private void checkTimeouts() {
    final long nowMs = core.nowMs();
    final boolean idle = nowMs - lastActivityMs >= core.limits().idleTimeoutMs();
    if (pipeline.isClosing() && idle) {
      context.close();
      return;
    }
    if (!pipeline.isBusy() && !pipeline.isClosing()) {
      final boolean slowHead =
          headTimer.isHeadIncomplete()
              && nowMs - headTimer.headStartedMs() >= core.limits().headerTimeoutMs();
      if (slowHead || request != null && idle) {
        refuseAndClose(HttpResponseStatus.REQUEST_TIMEOUT);
      } else if (idle) {
        closeAfterSending();
      }
    }
    scheduleTimer();
  }

  /**
   * A head or part of a request, which may wait for the response to the request before it.
   *
   * @param message the message
   * @param requestArrivedMs the earliest time at which its request may have arrived, in Unix
   *     milliseconds
   */
  private record Received(HttpObject message, long requestArrivedMs) {}
}
