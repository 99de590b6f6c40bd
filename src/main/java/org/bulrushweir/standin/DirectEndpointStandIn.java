package org.bulrushweir.standin;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.bulrushweir.api.EndpointId;
import org.bulrushweir.api.ServiceName;
import org.bulrushweir.api.ZoneName;
import org.bulrushweir.platform.EndpointSide;
import org.bulrushweir.store.SharedTable;

/**
 * Stands in for an endpoint that gateways reach directly: it registers itself, answers calls and
 * streams, counts the runs of each request, and misbehaves on demand.
 */
public final class DirectEndpointStandIn implements AutoCloseable {

  private static final String HOST = "127.0.0.1";
  private static final int MAX_BODY_BYTES = 8_388_608;
  private static final int SLOTS = 128;
  private static final long CLOSE_TIMEOUT_MS = 500;

  private final Map<String, Integer> runs = new ConcurrentHashMap<>();
  private final Map<String, String> organisations = new ConcurrentHashMap<>();
  private final AtomicInteger refusals = new AtomicInteger();
  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final PlatformStandIn platform;
  private final EndpointId id;
  private final ServiceName service;
  private final StandInStream stream;
  private final Channel server;
  private volatile EndpointFault fault = EndpointFault.NONE;
  private volatile ZoneName zone = new ZoneName("zone-1");
  private volatile long startedAtMs = System.currentTimeMillis();

  /**
   * Starts an endpoint and registers it.
   *
   * @param platform where it registers
   * @param id its id
   * @param service its service
   * @param stream how its streams look; null for a service that answers calls
   */
  public DirectEndpointStandIn(
      final PlatformStandIn platform,
      final EndpointId id,
      final ServiceName service,
      final StandInStream stream) {
    this.platform = platform;
    this.id = id;
    this.service = service;
    this.stream = stream;
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
                            new HttpObjectAggregator(MAX_BODY_BYTES),
                            new Handler());
                  }
                })
            .bind(HOST, 0)
            .syncUninterruptibly()
            .channel();
    register(false);
  }

  /**
   * Registers the endpoint anew.
   *
   * @param draining whether it is about to leave
   */
  public void register(final boolean draining) {
    platform.put(
        SharedTable.ENDPOINTS,
        id.value(),
        EndpointSide.registration(
            service, HOST + ':' + port(), zone, SLOTS, draining, startedAtMs));
  }

  /**
   * Registers the endpoint anew, in another zone.
   *
   * @param newZone the availability zone
   */
  public void moveTo(final ZoneName newZone) {
    zone = newZone;
    register(false);
  }

  /** Registers the endpoint under the same id as a process that has just started. */
  public void registerRestart() {
    startedAtMs = Math.max(System.currentTimeMillis(), startedAtMs + 1);
    register(false);
  }

  /**
   * Returns the start that the endpoint registers.
   *
   * @return the time in Unix milliseconds
   */
  public long startedAtMs() {
    return startedAtMs;
  }

  /**
   * Returns the port.
   *
   * @return the bound port
   */
  public int port() {
    return ((InetSocketAddress) server.localAddress()).getPort();
  }

  /**
   * Changes how the endpoint misbehaves.
   *
   * @param newFault the fault from now on
   */
  public void misbehaveAs(final EndpointFault newFault) {
    fault = newFault;
  }

  /**
   * Returns the runs of each request.
   *
   * @return the counts by the callers' ids
   */
  public Map<String, Integer> runs() {
    return runs;
  }

  /**
   * Returns the number of requests that were refused.
   *
   * @return the count
   */
  public int refusals() {
    return refusals.get();
  }

  /**
   * Returns on whose behalf requests were run.
   *
   * @return the organisations by the callers' ids
   */
  public Map<String, String> organisations() {
    return organisations;
  }

  @Override
  public void close() {
    server.close().syncUninterruptibly();
    group.shutdownGracefully(0, CLOSE_TIMEOUT_MS, TimeUnit.MILLISECONDS);
  }

  /** Answers the requests of one connection. */
  private final class Handler extends SimpleChannelInboundHandler<FullHttpRequest> {

    @Override
    protected void channelRead0(
        final ChannelHandlerContext context, final FullHttpRequest request) {
      final String requestId = EndpointSide.requestId(request);
      if (EndpointSide.isForOther(request, id)) {
        answer(context, requestId, HttpResponseStatus.MISDIRECTED_REQUEST, false);
        return;
      }
      if (fault == EndpointFault.SHED
          || fault == EndpointFault.BUSY
          || fault == EndpointFault.SHED_UNPROVEN) {
        refuse(context, requestId);
        return;
      }
      runs.merge(requestId, 1, Integer::sum);
      final String organisation = EndpointSide.organisation(request);
      if (organisation != null) {
        organisations.put(requestId, organisation);
      }
      run(context, request, requestId);
    }

    private void refuse(final ChannelHandlerContext context, final String requestId) {
      final DefaultFullHttpResponse refusal =
          full(HttpResponseStatus.SERVICE_UNAVAILABLE, "full", requestId);
      refusals.incrementAndGet();
      if (fault != EndpointFault.SHED_UNPROVEN) {
        EndpointSide.markNotRun(refusal.headers());
      }
      if (fault == EndpointFault.BUSY) {
        refusal.headers().set(HttpHeaderNames.RETRY_AFTER, EndpointFault.BUSY_S);
      }
      context.writeAndFlush(refusal);
    }

    private void run(
        final ChannelHandlerContext context,
        final FullHttpRequest request,
        final String requestId) {
      if (fault == EndpointFault.HANG) {
        return;
      }
      if (fault == EndpointFault.RESET) {
        context.channel().config().setOption(ChannelOption.SO_LINGER, 0);
        context.close();
        return;
      }
      if (fault == EndpointFault.GARBAGE) {
        context.pipeline().remove(HttpServerCodec.class);
        context.writeAndFlush(
            Unpooled.copiedBuffer("no answer at all\r\n\r\n", StandardCharsets.US_ASCII));
        return;
      }
      if (fault == EndpointFault.FOREIGN_FIRST) {
        context.write(full(HttpResponseStatus.OK, "of another", "other-request"));
      }
      if (stream == null || fault == EndpointFault.ERROR) {
        answerCall(context, requestId);
        return;
      }
      begin(context, requestId);
      final long first = EndpointSide.resumeAfter(request).orElse(-1) + 1;
      context
          .executor()
          .schedule(() -> event(context, first), stream.firstMs(), TimeUnit.MILLISECONDS);
    }

    private void answerCall(final ChannelHandlerContext context, final String requestId) {
      if (fault == EndpointFault.CUT) {
        final DefaultHttpResponse head =
            new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
        EndpointSide.seal(head.headers(), requestId, "seal-" + requestId);
        head.headers().set(HttpHeaderNames.CONTENT_LENGTH, 100);
        context.write(head);
        context.writeAndFlush(text("half of it")).addListener(done -> context.close());
        return;
      }
      answer(
          context,
          requestId,
          fault == EndpointFault.ERROR
              ? HttpResponseStatus.INTERNAL_SERVER_ERROR
              : HttpResponseStatus.OK,
          fault != EndpointFault.UNSEALED);
      if (fault == EndpointFault.EXTRA) {
        context.writeAndFlush(full(HttpResponseStatus.OK, "extra", "other-request"));
      }
    }

    private void answer(
        final ChannelHandlerContext context,
        final String requestId,
        final HttpResponseStatus status,
        final boolean sealed) {
      final DefaultFullHttpResponse response = full(status, "answer to " + requestId, requestId);
      if (!sealed) {
        response.headers().clear();
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
      }
      context.writeAndFlush(response);
    }

    private DefaultFullHttpResponse full(
        final HttpResponseStatus status, final String body, final String requestId) {
      final DefaultFullHttpResponse response =
          new DefaultFullHttpResponse(
              HttpVersion.HTTP_1_1, status, Unpooled.copiedBuffer(body, StandardCharsets.US_ASCII));
      EndpointSide.seal(response.headers(), requestId, "seal-" + requestId);
      if (fault == EndpointFault.LEAVING) {
        EndpointSide.markLeaving(response.headers());
      }
      response.headers().set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
      return response;
    }

    private void begin(final ChannelHandlerContext context, final String requestId) {
      final HttpResponse head =
          new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
      EndpointSide.seal(head.headers(), requestId, "seal-" + requestId);
      head.headers().set(HttpHeaderNames.CONTENT_TYPE, "text/event-stream");
      head.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
      context.writeAndFlush(head);
    }

    private void event(final ChannelHandlerContext context, final long number) {
      if (!context.channel().isActive()) {
        return;
      }
      if (number >= stream.events()) {
        context.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
        return;
      }
      if (fault == EndpointFault.CUT && number >= stream.events() / 2) {
        context.writeAndFlush(text("id: " + number + "\nda")).addListener(done -> context.close());
        return;
      }
      if (fault == EndpointFault.STALL && number >= stream.events() / 2) {
        context.writeAndFlush(text("id: " + number + "\nda"));
        return;
      }
      context.writeAndFlush(text("id: " + number + "\ndata: part " + number + "\n\n"));
      context
          .executor()
          .schedule(() -> event(context, number + 1), stream.gapMs(), TimeUnit.MILLISECONDS);
    }

    private DefaultHttpContent text(final String text) {
      return new DefaultHttpContent(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
    }

    @Override
    public void exceptionCaught(final ChannelHandlerContext context, final Throwable cause) {
      context.close();
    }
  }
}
