package org.bulrushweir.gateway;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.ServerChannelRecvByteBufAllocator;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpServerCodec;
import java.net.InetSocketAddress;
import java.util.Optional;
import org.bulrushweir.api.Clock;
import org.bulrushweir.settings.SocketAddressSettings;

/** Starts a gateway's servers: one for callers and those for readiness and metrics. */
final class GatewayServers {

  /** The largest request for readiness or metrics, in bytes. */
  private static final int MAX_STATUS_BYTES = 4_096;

  /** How often a caller's connection is read at a poll, up to 64 KiB each. */
  private static final int MAX_READS_PER_POLL = 128;

  private final EventLoopGroup group;
  private final GatewayCore core;
  private final GatewayMetrics metrics;
  private final Clock clock;

  /**
   * Creates the servers without starting them.
   *
   * @param group the event loop group that runs the servers
   * @param core serves callers' requests
   * @param metrics the metrics to expose
   * @param clock the process's clock
   */
  GatewayServers(
      final EventLoopGroup group,
      final GatewayCore core,
      final GatewayMetrics metrics,
      final Clock clock) {
    this.group = group;
    this.core = core;
    this.metrics = metrics;
    this.clock = clock;
  }

  /**
   * Starts to accept callers on the already listening socket.
   *
   * @param socket the listening socket
   * @return the local port of the socket
   */
  int acceptCallers(final CallersSocketService socket) {
    new ServerBootstrap()
        .group(group)
        .channelFactory(() -> new NioServerSocketChannel(socket.channel()))
        .option(
            ChannelOption.RECVBUF_ALLOCATOR,
            // All that wait are accepted at one poll: later polls could not tell how long they did.
            new ServerChannelRecvByteBufAllocator()
                .maxMessagesPerRead(CallersSocketService.ACCEPT_BACKLOG))
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childOption(
            ChannelOption.RECVBUF_ALLOCATOR,
            // A poll reads a connection to its end: bytes must not hide the close behind them.
            new AdaptiveRecvByteBufAllocator()
                .respectMaybeMoreData(false)
                .maxMessagesPerRead(MAX_READS_PER_POLL))
        .childHandler(
            new ChannelInitializer<Channel>() {
              @Override
              protected void initChannel(final Channel channel) {
                final UnreadTime unread = new UnreadTime(core.polls(), clock);
                final RequestHeadTimer headTimer = new RequestHeadTimer(clock, unread);
                final RequestDecoderSlot slot =
                    new RequestDecoderSlot(() -> core.limits().maxHeaderBytes());
                channel
                    .pipeline()
                    .addLast(
                        headTimer.beforeDecoder(slot),
                        slot.decoder(),
                        headTimer.afterDecoder(),
                        new HttpResponseEncoder(),
                        new CallerHandler(core, slot, headTimer, unread));
              }
            })
        .register()
        .syncUninterruptibly();
    group.next().execute(() -> core.polls().socketAdded(socket.boundMs()));
    return socket.channel().socket().getLocalPort();
  }

  /**
   * Starts a server for readiness and metrics.
   *
   * @param address the address to listen on
   * @param explainer explains where requests would be sent, empty to serve no explanations
   * @return the bound port
   */
  int bindStatus(final SocketAddressSettings address, final Optional<RequestExplainer> explainer) {
    final StatusHandler handler = new StatusHandler(core, metrics, explainer);
    return bind(
        address,
        new ChannelInitializer<Channel>() {
          @Override
          protected void initChannel(final Channel channel) {
            channel
                .pipeline()
                .addLast(
                    new HttpServerCodec(), new HttpObjectAggregator(MAX_STATUS_BYTES), handler);
          }
        });
  }

  private int bind(
      final SocketAddressSettings address, final ChannelInitializer<Channel> initializer) {
    final Channel channel =
        new ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(initializer)
            .bind(address.host(), address.port())
            .syncUninterruptibly()
            .channel();
    return ((InetSocketAddress) channel.localAddress()).getPort();
  }
}
