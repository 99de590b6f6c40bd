package org.bulrushweir.gateway;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.bulrushweir.api.ZoneName;
import org.bulrushweir.demo.DemoFleet;
import org.bulrushweir.platform.EndpointSide;
import org.bulrushweir.store.SharedTable;

/**
 * An engine whose process ends when it begins to answer a prompt with a certain segment, and that
 * starts again shortly after. Other prompts get a short stream.
 */
final class CrashingEngine implements AutoCloseable {

  private static final String HOST = "127.0.0.1";
  private static final int MAX_REQUEST_BYTES = 65_536;
  private static final int SLOTS = 128;
  private static final long FIRST_EVENT_MS = 40;
  private static final long DOWN_MS = 400;

  private final List<Long> arrivals = new CopyOnWriteArrayList<>();
  private final List<Long> crashes = new CopyOnWriteArrayList<>();
  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final DemoFleet fleet;
  private final String id;
  private final String crashingSegment;
  private ChannelGroup connections;
  private Channel server;
  private int port;
  private int run;

  /**
   * Starts and registers an engine.
   *
   * @param fleet the fleet that it belongs to
   * @param id its id
   * @param crashingSegment the id of the segment that ends it, in hexadecimal digits
   */
  CrashingEngine(final DemoFleet fleet, final String id, final String crashingSegment) {
    this.fleet = fleet;
    this.id = id;
    this.crashingSegment = crashingSegment;
    bind();
  }

  private void bind() {
    final ChannelGroup accepted = new DefaultChannelGroup(group.next());
    connections = accepted;
    server =
        new ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childHandler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(final Channel channel) {
                    accepted.add(channel);
                    channel
                        .pipeline()
                        .addLast(
                            new HttpServerCodec(),
                            new HttpObjectAggregator(MAX_REQUEST_BYTES),
                            new Handler());
                  }
                })
            .bind(HOST, port)
            .awaitUninterruptibly()
            .channel();
    port = ((InetSocketAddress) server.localAddress()).getPort();
    run++;
    fleet
        .platform()
        .put(
            SharedTable.ENDPOINTS,
            id,
            EndpointSide.registration(
                DemoFleet.ASSISTANT,
                HOST + ':' + port,
                new ZoneName("zone-1"),
                SLOTS,
                false,
                System.currentTimeMillis() + run));
  }

  /**
   * Returns the times at which requests with the crashing segment arrived, in Unix milliseconds.
   */
  List<Long> arrivals() {
    return arrivals;
  }

  /** Returns the times at which the process ended, in Unix milliseconds. */
  List<Long> crashes() {
    return crashes;
  }

  private void crash() {
    if (!server.isOpen()) {
      return;
    }
    crashes.add(System.currentTimeMillis());
    server.close();
    connections.close();
    Thread.ofVirtual().start(this::restart);
  }

  private void restart() {
    try {
      Thread.sleep(DOWN_MS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return;
    }
    if (!group.isShuttingDown()) {
      bind();
    }
  }

  @Override
  public void close() {
    group.shutdownGracefully();
  }

  /** Answers the requests of one connection. */
  private final class Handler extends SimpleChannelInboundHandler<FullHttpRequest> {

    @Override
    protected void channelRead0(
        final ChannelHandlerContext context, final FullHttpRequest request) {
      final String prompt = request.headers().get("X-Prompt-Prefix", "");
      final boolean crashes = prompt.contains("," + crashingSegment + ":");
      if (crashes) {
        arrivals.add(System.currentTimeMillis());
      }
      final String requestId = EndpointSide.requestId(request);
      context
          .executor()
          .schedule(
              () -> answer(context, requestId, crashes), FIRST_EVENT_MS, TimeUnit.MILLISECONDS);
    }

    private void answer(
        final ChannelHandlerContext context, final String requestId, final boolean crashes) {
      if (crashes) {
        crash();
        return;
      }
      final DefaultFullHttpResponse response =
          new DefaultFullHttpResponse(
              HttpVersion.HTTP_1_1,
              HttpResponseStatus.OK,
              Unpooled.copiedBuffer("id: 0\ndata: all\n\n", StandardCharsets.US_ASCII));
      EndpointSide.seal(response.headers(), requestId, "seal-" + requestId);
      response.headers().set(HttpHeaderNames.CONTENT_TYPE, "text/event-stream");
      response.headers().set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
      context.writeAndFlush(response);
    }
  }
}
