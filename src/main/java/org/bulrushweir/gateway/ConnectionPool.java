package org.bulrushweir.gateway;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.bulrushweir.api.Clock;
import org.bulrushweir.catalog.EndpointRecord;

/** Keeps connections to endpoints open for further requests. */
final class ConnectionPool {

  /**
   * Within which a connection must be open, in milliseconds: some round trips between zones and the
   * endpoint's own time for it.
   */
  private static final int CONNECT_TIMEOUT_MS = 400;

  /** Above how many unsent bytes a connection counts as not writable. */
  private static final int SEND_BUFFER_BYTES = 65_536;

  private final Map<EndpointRecord, Deque<EndpointConnection>> idle = new HashMap<>();
  private final Bootstrap bootstrap;
  private final Clock clock;
  private long opened;

  /**
   * Creates an empty pool.
   *
   * @param group the thread of the connections
   * @param clock the clock
   */
  ConnectionPool(final EventLoopGroup group, final Clock clock) {
    this.clock = clock;
    this.bootstrap =
        new Bootstrap()
            .group(group)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
            .option(ChannelOption.SO_SNDBUF, SEND_BUFFER_BYTES)
            .option(ChannelOption.TCP_NODELAY, true);
  }

  /**
   * Takes a connection to an endpoint, an open one if there is.
   *
   * @param endpoint the endpoint
   * @param maxIdleMs for how long the connection may have been idle, in milliseconds
   * @param ready takes the connection
   * @param failed takes what went wrong; nothing was sent then
   */
  void acquire(
      final EndpointRecord endpoint,
      final long maxIdleMs,
      final Consumer<EndpointConnection> ready,
      final Consumer<String> failed) {
    final EndpointConnection known = takeIdle(endpoint, maxIdleMs);
    if (known != null) {
      ready.accept(known);
      return;
    }
    open(endpoint, ready, failed);
  }

  private EndpointConnection takeIdle(final EndpointRecord endpoint, final long maxIdleMs) {
    final Deque<EndpointConnection> connections = idle.get(endpoint);
    if (connections == null) {
      return null;
    }
    final long nowMs = clock.nowMs();
    final EndpointConnection newest = connections.peekLast();
    if (newest == null || !newest.isUsable(nowMs, maxIdleMs)) {
      return null;
    }
    return connections.removeLast();
  }

  private void open(
      final EndpointRecord endpoint,
      final Consumer<EndpointConnection> ready,
      final Consumer<String> failed) {
    final EndpointResponseDecoder decoder = new EndpointResponseDecoder();
    final EndpointConnection connection = new EndpointConnection(endpoint, decoder, this);
    opened++;
    final ChannelFuture future =
        bootstrap
            .clone()
            .handler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(final Channel channel) {
                    channel.pipeline().addLast(new HttpRequestEncoder(), decoder, connection);
                  }
                })
            .connect(endpoint.host(), endpoint.port());
    future.addListener(
        done -> {
          if (done.isSuccess()) {
            ready.accept(connection);
          } else {
            failed.accept("no connection to " + endpoint.id() + ": " + done.cause().getMessage());
          }
        });
  }

  void release(final EndpointConnection connection) {
    connection.idleSince(clock.nowMs());
    idle.computeIfAbsent(connection.endpoint(), key -> new ArrayDeque<>()).addLast(connection);
  }

  /**
   * Forgets a connection that is closed.
   *
   * @param connection the connection
   */
  void closed(final EndpointConnection connection) {
    final Deque<EndpointConnection> connections = idle.get(connection.endpoint());
    if (connections != null && connections.remove(connection) && connections.isEmpty()) {
      idle.remove(connection.endpoint());
    }
  }

  /** Closes the connections that were idle for too long. */
  void sweep() {
    final long nowMs = clock.nowMs();
    final List<EndpointConnection> old = new ArrayList<>();
    idle.values()
        .forEach(
            connections ->
                connections.stream()
                    .filter(connection -> !connection.isUsable(nowMs, Long.MAX_VALUE))
                    .forEach(old::add));
    old.forEach(EndpointConnection::close);
  }

  /**
   * Returns how many connections were opened.
   *
   * @return the count since the start
   */
  long opened() {
    return opened;
  }
}
