package org.bulrushweir.gateway;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.bulrushweir.catalog.EndpointRecord;
import org.bulrushweir.platform.ResponseTranslator;

/**
 * A connection to an endpoint, which answers one request at a time. Bytes that no request waits for
 * belong to none: an answer to an earlier request is skipped, and anything else ends the
 * connection.
 */
final class EndpointConnection extends ChannelInboundHandlerAdapter {

  /** For how long an idle connection is kept if the endpoint does not say, in milliseconds. */
  private static final long DEFAULT_IDLE_MS = 4_000;

  /** Which part of the time that the endpoint names is used: a request may be on its way. */
  private static final double USED_IDLE_PART = 0.5;

  private final EndpointResponseDecoder decoder;
  private final EndpointRecord endpoint;
  private final ConnectionPool pool;
  private Channel channel;
  private ResponseListener listener;
  private String requestId;
  private boolean skipping;
  private boolean headCame;
  private boolean keepAlive;
  private boolean broken;
  private long idleSinceMs;
  private long idleLimitMs = DEFAULT_IDLE_MS;

  /**
   * Creates a connection that is not open yet.
   *
   * @param endpoint where it leads
   * @param decoder decodes the answers on it
   * @param pool takes it back after each answer
   */
  EndpointConnection(
      final EndpointRecord endpoint,
      final EndpointResponseDecoder decoder,
      final ConnectionPool pool) {
    this.endpoint = endpoint;
    this.decoder = decoder;
    this.pool = pool;
  }

  @Override
  public void handlerAdded(final ChannelHandlerContext context) {
    channel = context.channel();
  }

  void idleSince(final long nowMs) {
    idleSinceMs = nowMs;
  }

  EndpointRecord endpoint() {
    return endpoint;
  }

  boolean isUsable(final long nowMs, final long maxIdleMs) {
    return channel.isActive() && !broken && nowMs - idleSinceMs < Math.min(idleLimitMs, maxIdleMs);
  }

  /**
   * Sends a request.
   *
   * @param request the request
   * @param id the caller's id of it
   * @param answers learns the answer
   */
  void send(final FullHttpRequest request, final String id, final ResponseListener answers) {
    listener = answers;
    requestId = id;
    headCame = false;
    decoder.method(request.method());
    channel.writeAndFlush(request);
  }

  /** Closes the connection, so that the endpoint stops working on the request. */
  void abort() {
    listener = null;
    channel.close();
  }

  void close() {
    channel.close();
  }

  void reading(final boolean enabled) {
    channel.config().setAutoRead(enabled);
  }

  @Override
  public void channelRead(final ChannelHandlerContext context, final Object message) {
    if (listener == null) {
      ReferenceCountUtil.release(message);
      context.close();
      return;
    }
    take((HttpObject) message);
  }

  private void take(final HttpObject message) {
    if (message.decoderResult().isFailure()) {
      ReferenceCountUtil.release(message);
      fail("bytes that are no answer");
      return;
    }
    if (message instanceof HttpResponse response) {
      takeHead(response);
    }
    if (listener != null && message instanceof HttpContent content) {
      takeContent(content);
      return;
    }
    ReferenceCountUtil.release(message);
  }

  private void takeHead(final HttpResponse response) {
    skipping =
        response.status().codeClass() == HttpStatusClass.INFORMATIONAL
            || !ResponseTranslator.belongsTo(response, requestId);
    if (skipping) {
      return;
    }
    headCame = true;
    keepAlive =
        HttpUtil.isKeepAlive(response)
            && (HttpUtil.isContentLengthSet(response)
                || HttpUtil.isTransferEncodingChunked(response));
    ResponseTranslator.idleTimeoutMs(response)
        .ifPresent(ms -> idleLimitMs = (long) (USED_IDLE_PART * ms));
    listener.head(response);
  }

  private void takeContent(final HttpContent content) {
    final boolean last = content instanceof LastHttpContent;
    if (skipping) {
      content.release();
      skipping = !last;
      return;
    }
    if (content.content().isReadable()) {
      listener.part(content.content());
    } else {
      content.release();
    }
    if (last && listener != null) {
      ended();
    }
  }

  private void ended() {
    final ResponseListener answers = listener;
    listener = null;
    if (broken) {
      answers.broken("the connection was reset");
      return;
    }
    if (keepAlive && channel.isActive()) {
      reading(true);
      pool.release(this);
    } else {
      channel.close();
    }
    answers.ended();
  }

  private void fail(final String detail) {
    broken = true;
    channel.close();
    if (listener != null) {
      final ResponseListener answers = listener;
      listener = null;
      answers.broken(detail);
    }
  }

  @Override
  public void channelInactive(final ChannelHandlerContext context) {
    pool.closed(this);
    fail(headCame ? "the answer broke off" : "the connection was closed without an answer");
  }

  @Override
  public void exceptionCaught(final ChannelHandlerContext context, final Throwable cause) {
    fail("the connection failed: " + cause.getMessage());
  }
}
