package org.bulrushweir.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.Optional;
import org.bulrushweir.catalog.EndpointRecord;
import org.bulrushweir.platform.ResponseTranslator;
import org.bulrushweir.relay.ResponseBodyCheck;
import org.bulrushweir.relay.ResponseFraming;
import org.bulrushweir.relay.ResponseMatch;
import org.bulrushweir.relay.StatusLineScanner;
import org.bulrushweir.relay.UnexpectedBytes;

/**
 * A connection to an endpoint, which handles one request at a time.
 *
 * <p>Informational responses are skipped, and so is a late response to an earlier request, which is
 * recognised by the request id that it echoes. A response that may be either is a failure, and so
 * is one that holds part of another one. Bytes that arrive while no request is waiting close the
 * connection.
 */
final class EndpointConnection extends ChannelInboundHandlerAdapter {

  /** The time for which an idle connection is kept if the endpoint names none, in milliseconds. */
  private static final long DEFAULT_IDLE_LIMIT_MS = 4_000;

  /**
   * The share of the endpoint's keep-alive timeout that is used. The rest is a margin: a request
   * that is on its way when the timeout expires would be lost.
   */
  private static final double KEEP_ALIVE_TIMEOUT_SHARE = 0.5;

  /**
   * The size of the last part of a long body, in bytes. It is written once the endpoint has taken
   * all before it, which may be long after the caller has left.
   */
  private static final int LAST_PART_BYTES = 1_024;

  /** The number of responses that are skipped while one request waits. */
  private static final int MAX_SKIPPED_RESPONSES = 16;

  /** The number of bytes of bodies that are skipped while one request waits. */
  private static final long MAX_SKIPPED_BYTES = 1_048_576;

  /** What a part of a skipped body counts beside its bytes, as a part may have a single one. */
  private static final long SKIPPED_PART_BYTES = 64;

  private final EndpointResponseDecoder decoder;
  private final EndpointRecord endpoint;
  private final ConnectionPool pool;
  private Channel channel;
  private ResponseListener listener;
  private ByteBuf lastPart;
  private String requestId = "";
  private boolean reused;
  private ResponseBodyCheck body;
  private StatusLineScanner skippedBody;
  private boolean skipping;
  private int skippedResponses;
  private long skippedBytes;
  private boolean headReceived;
  private boolean keepAlive;
  private boolean failed;
  private long idleSinceMs;
  private long idleLimitMs = DEFAULT_IDLE_LIMIT_MS;

  /**
   * Creates the handler of a connection that is not open yet.
   *
   * @param endpoint the endpoint
   * @param decoder decodes the responses on this connection
   * @param pool receives the connection back after each complete response, and reports of bytes
   *     that belong to no request
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

  void setIdleSince(final long nowMs) {
    idleSinceMs = nowMs;
  }

  EndpointRecord endpoint() {
    return endpoint;
  }

  boolean isOpen() {
    return channel.isActive();
  }

  boolean isUsable(final long nowMs, final long maxIdleMs) {
    return channel.isActive() && !failed && nowMs - idleSinceMs < Math.min(idleLimitMs, maxIdleMs);
  }

  /**
   * Sends a request. If its body is longer than the send buffer of the socket, the last part is
   * held back until {@link #sendLastPart}.
   *
   * @param request the request
   * @param id the caller's id of the request, which the response echoes
   * @param responseListener receives the response
   */
  void send(
      final FullHttpRequest request, final String id, final ResponseListener responseListener) {
    listener = responseListener;
    reused = !requestId.isEmpty();
    requestId = id;
    headReceived = false;
    skippedResponses = 0;
    skippedBytes = 0;
    decoder.method(request.method());
    lastPart = null;
    final ByteBuf content = request.content();
    if (content.readableBytes() <= ConnectionPool.SEND_BUFFER_BYTES) {
      write(request);
      return;
    }
    final ByteBuf first = content.readSlice(content.readableBytes() - LAST_PART_BYTES);
    lastPart = content;
    channel.write(
        new DefaultHttpRequest(
            request.protocolVersion(), request.method(), request.uri(), request.headers()));
    write(new DefaultHttpContent(first.retain()))
        .addListener(
            sent -> {
              if (sent.isSuccess() && listener == responseListener && lastPart != null) {
                listener.onBodyTaken();
              }
            });
  }

  /** Sends the last part of a body, after {@link ResponseListener#onBodyTaken}. */
  void sendLastPart() {
    final ByteBuf content = lastPart;
    lastPart = null;
    write(new DefaultLastHttpContent(content));
  }

  private ChannelFuture write(final HttpObject message) {
    return channel
        .writeAndFlush(message)
        .addListener(
            sent -> {
              if (!sent.isSuccess()) {
                // Netty closes the channel next, which the decoder takes for the end of the body.
                fail("the request was not sent completely: " + sent.cause().getMessage());
              }
            });
  }

  /** Closes the connection, so that the endpoint stops working on the request. */
  void abort() {
    listener = null;
    channel.close();
  }

  void close() {
    channel.close();
  }

  void setAutoRead(final boolean enabled) {
    channel.config().setAutoRead(enabled);
  }

  boolean isAwaitingResponse() {
    return listener != null;
  }

  /** Closes the connection, since bytes arrived that belong to no request. */
  void onIdleBytes() {
    report(UnexpectedBytes.IDLE);
    channel.close();
  }

  @Override
  public void channelRead(final ChannelHandlerContext context, final Object message) {
    if (listener == null) {
      ReferenceCountUtil.release(message);
      context.close();
      return;
    }
    handleMessage((HttpObject) message);
  }

  private void handleMessage(final HttpObject message) {
    if (message.decoderResult().isFailure()) {
      ReferenceCountUtil.release(message);
      report(
          EndpointResponseDecoder.isJoined(message.decoderResult())
              ? UnexpectedBytes.JOINED_HEAD
              : UnexpectedBytes.INVALID);
      fail("the endpoint sent an invalid HTTP response");
      return;
    }
    if (message instanceof HttpResponse response) {
      handleHead(response);
    }
    if (listener != null && message instanceof HttpContent content) {
      handleContent(content);
      return;
    }
    ReferenceCountUtil.release(message);
  }

  private void report(final UnexpectedBytes kind) {
    pool.onUnexpectedBytes(endpoint, requestId, kind);
  }

  private void handleHead(final HttpResponse response) {
    final ResponseMatch match =
        response.status().codeClass() == HttpStatusClass.INFORMATIONAL
            ? ResponseMatch.FOREIGN
            : ResponseMatch.of(ResponseTranslator.namedRequests(response), requestId, reused);
    final ResponseFraming framing = decoder.framing(response);
    skipping = match == ResponseMatch.FOREIGN;
    if (skipping) {
      skip(response, framing);
      return;
    }
    if (match == ResponseMatch.AMBIGUOUS) {
      report(UnexpectedBytes.AMBIGUOUS);
      fail("the response may belong to an earlier request");
      return;
    }
    headReceived = true;
    body = new ResponseBodyCheck(framing, ResponseTranslator.isEventStream(response), reused);
    keepAlive =
        match != ResponseMatch.OWN_UNNAMED
            && HttpUtil.isKeepAlive(response)
            && framing != ResponseFraming.CONNECTION;
    ResponseTranslator.idleTimeoutMs(response)
        .ifPresent(ms -> idleLimitMs = (long) (KEEP_ALIVE_TIMEOUT_SHARE * ms));
    listener.onHead(response, framing);
  }

  private void skip(final HttpResponse response, final ResponseFraming framing) {
    skippedBody = new StatusLineScanner();
    skippedResponses++;
    if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
      failIfTooMuchIsSkipped();
      return;
    }
    report(UnexpectedBytes.OTHER_REQUEST);
    if (framing == ResponseFraming.CONNECTION) {
      fail("a response to another request does not end before its connection");
      return;
    }
    failIfTooMuchIsSkipped();
  }

  private void handleContent(final HttpContent content) {
    final boolean last = content instanceof LastHttpContent;
    if (skipping) {
      handleSkipped(content);
      skipping = !last;
      return;
    }
    if (!isSound(content.content())) {
      content.release();
      report(UnexpectedBytes.JOINED_BODY);
      fail("the response holds the head of another one");
      return;
    }
    // Checked before the last part is forwarded, which would complete a response with a length.
    final Optional<String> fault = last ? findFault() : Optional.empty();
    if (fault.isPresent()) {
      content.release();
      fail(fault.get());
      return;
    }
    if (content.content().isReadable()) {
      listener.onPart(content.content());
    } else {
      content.release();
    }
    if (last && listener != null) {
      complete();
    }
  }

  private Optional<String> findFault() {
    if (failed) {
      return Optional.of("the connection was reset");
    }
    final String following = decoder.following();
    if (!following.isEmpty()) {
      report(UnexpectedBytes.IDLE);
    }
    final Optional<String> fault = body.findFault(following);
    if (fault.isPresent()) {
      report(UnexpectedBytes.JOINED_BODY);
    }
    return fault;
  }

  private boolean isSound(final ByteBuf part) {
    return part.forEachByte(body::accept) < 0;
  }

  /** Skips part of a response to another request, unless the start of the next one is in it. */
  private void handleSkipped(final HttpContent content) {
    skippedBytes += SKIPPED_PART_BYTES + content.content().readableBytes();
    final boolean joined = content.content().forEachByte(value -> !skippedBody.accept(value)) >= 0;
    content.release();
    if (joined) {
      report(UnexpectedBytes.JOINED_BODY);
      fail("a response to another request broke off");
      return;
    }
    failIfTooMuchIsSkipped();
  }

  private void failIfTooMuchIsSkipped() {
    if (skippedResponses > MAX_SKIPPED_RESPONSES || skippedBytes > MAX_SKIPPED_BYTES) {
      fail("the endpoint sent too much that is no response to the request");
    }
  }

  private void complete() {
    final ResponseListener responseListener = listener;
    listener = null;
    if (keepAlive && lastPart == null && channel.isActive() && !decoder.hasFollowing()) {
      setAutoRead(true);
      pool.release(this);
    } else {
      channel.close();
    }
    responseListener.onEnd();
  }

  private void fail(final String detail) {
    failed = true;
    channel.close();
    if (listener != null) {
      final ResponseListener responseListener = listener;
      listener = null;
      responseListener.onBroken(detail);
    }
  }

  @Override
  public void channelInactive(final ChannelHandlerContext context) {
    pool.remove(this);
    fail(
        headReceived
            ? "the connection was closed before the response was complete"
            : "the connection was closed without a response");
  }

  @Override
  public void exceptionCaught(final ChannelHandlerContext context, final Throwable cause) {
    fail("the connection failed: " + cause.getMessage());
  }
}
