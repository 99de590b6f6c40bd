package org.bulrushweir.gateway;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpServerCodec;
import java.net.InetSocketAddress;
import org.bulrushweir.api.Clock;
import org.bulrushweir.settings.SocketAddressSettings;

/** Opens the servers of a gateway: for callers, and for status and metrics. */
final class GatewayServers {

  /** The largest request for status or metrics, in bytes. */
  private static final int MAX_STATUS_BYTES = 4_096;

  private final EventLoopGroup group;
  private final GatewayCore core;
  private final GatewayMetrics metrics;
  private final Clock clock;

  /**
   * Creates a gateway's servers.
   *
   * @param group the thread
   * @param core serves callers
   * @param metrics the metrics
   * @param clock the clock
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
   * Begins to accept callers on the socket that has been open since the start.
   *
   * @param socket the socket
   * @return its port
   */
  int acceptCallers(final CallersSocketService socket) {
    new ServerBootstrap()
        .group(group)
        .channelFactory(() -> new NioServerSocketChannel(socket.channel()))
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childHandler(
            new ChannelInitializer<Channel>() {
              @Override
              protected void initChannel(final Channel channel) {
                final RequestHeadTimer headTimer = new RequestHeadTimer(clock);
                channel
                    .pipeline()
                    .addLast(
                        headTimer.before(),
                        new CallerRequestDecoder(core.limits().maxHeaderBytes()),
                        headTimer.after(),
                        new HttpResponseEncoder(),
                        new CallerHandler(core, headTimer));
              }
            })
        .register()
        .syncUninterruptibly();
    return socket.channel().socket().getLocalPort();
  }

  /**
   * Opens a server for status and metrics.
   *
   * @param address where
   * @return the port
   */
  int bindStatus(final SocketAddressSettings address) {
    final StatusHandler handler = new StatusHandler(core, metrics);
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
