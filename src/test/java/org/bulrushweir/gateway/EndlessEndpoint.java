package org.bulrushweir.gateway;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.bulrushweir.platform.EndpointSide;

/** An endpoint that answers each request with bytes that never end. */
final class EndlessEndpoint implements AutoCloseable {

  private static final int PIECE_BYTES = 16_384;
  private static final int MAX_REQUEST_BYTES = 65_536;
  private static final byte[] PIECE = new byte[PIECE_BYTES];

  static {
    Arrays.fill(PIECE, (byte) 'a');
  }

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final AtomicLong written = new AtomicLong();
  private final AtomicInteger requests = new AtomicInteger();
  private final AtomicInteger open = new AtomicInteger();
  private final Kind kind;
  private final Channel server;

  /** What never ends. */
  enum Kind {
    /** One event of a stream. */
    EVENT,
    /** The body of a refusal that proves that the request was not run. */
    REFUSAL,
    /** The body of a refusal, of which nothing arrives after its head. */
    SILENT_REFUSAL,
    /** The body of a response to another request. */
    FOREIGN_BODY,
    /** Informational responses. */
    INFORMATIONAL,
    /** A header. */
    HEADER,
    /** The status line. */
    STATUS_LINE
  }

  /**
   * Starts an endpoint.
   *
   * @param kind what never ends
   */
  EndlessEndpoint(final Kind kind) {
    this.kind = kind;
    this.server =
        new ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel.class)
            .childHandler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(final Channel channel) {
                    channel
                        .pipeline()
                        .addLast(
                            new HttpServerCodec(),
                            new HttpObjectAggregator(MAX_REQUEST_BYTES),
                            new Handler());
                  }
                })
            .bind("127.0.0.1", 0)
            .syncUninterruptibly()
            .channel();
  }

  int port() {
    return ((InetSocketAddress) server.localAddress()).getPort();
  }

  int requests() {
    return requests.get();
  }

  int openConnections() {
    return open.get();
  }

  /** Returns the number of bytes without end that left this endpoint. */
  long written() {
    return written.get();
  }

  @Override
  public void close() {
    server.close().syncUninterruptibly();
    group.shutdownGracefully();
  }

  /** Answers the requests of one connection. */
  private final class Handler extends SimpleChannelInboundHandler<FullHttpRequest> {

    private boolean answering;

    @Override
    public void channelActive(final ChannelHandlerContext context) {
      open.incrementAndGet();
    }

    @Override
    public void channelInactive(final ChannelHandlerContext context) {
      open.decrementAndGet();
    }

    @Override
    protected void channelRead0(
        final ChannelHandlerContext context, final FullHttpRequest request) {
      requests.incrementAndGet();
      final String id = EndpointSide.requestId(request);
      switch (kind) {
        case EVENT -> writeHead(context, HttpResponseStatus.OK, id);
        case REFUSAL, SILENT_REFUSAL ->
            writeHead(context, HttpResponseStatus.SERVICE_UNAVAILABLE, id);
        case FOREIGN_BODY -> writeHead(context, HttpResponseStatus.OK, "of-another-request");
        case HEADER -> writeRaw(context, "HTTP/1.1 200 OK\r\nX-Long: ");
        case STATUS_LINE -> writeRaw(context, "HTTP/1.1 200 ");
        default -> {
          // Nothing goes before the first informational response.
        }
      }
      answering = kind != Kind.SILENT_REFUSAL;
      writeOn(context);
    }

    private void writeHead(
        final ChannelHandlerContext context, final HttpResponseStatus status, final String id) {
      final HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, status);
      HttpUtil.setTransferEncodingChunked(head, true);
      if (status.equals(HttpResponseStatus.SERVICE_UNAVAILABLE)) {
        EndpointSide.markNotRun(head.headers());
      }
      EndpointSide.seal(head.headers(), id, "a seal");
      context.writeAndFlush(head);
    }

    /** Writes past the HTTP codec. */
    private void writeRaw(final ChannelHandlerContext context, final String text) {
      context
          .pipeline()
          .context(HttpServerCodec.class)
          .writeAndFlush(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
    }

    private void writeOn(final ChannelHandlerContext context) {
      while (answering && context.channel().isActive() && context.channel().isWritable()) {
        switch (kind) {
          case HEADER, STATUS_LINE ->
              writeRaw(context, new String(PIECE, StandardCharsets.US_ASCII));
          case INFORMATIONAL -> writeRaw(context, "HTTP/1.1 102 Processing\r\n\r\n");
          default -> context.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(PIECE)));
        }
        written.addAndGet(kind == Kind.INFORMATIONAL ? 1 : PIECE_BYTES);
      }
    }

    @Override
    public void channelWritabilityChanged(final ChannelHandlerContext context) {
      writeOn(context);
    }
  }
}
