package org.bulrushweir.gateway;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.net.ConnectException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.bulrushweir.api.Clock;
import org.bulrushweir.catalog.EndpointRecord;
import org.bulrushweir.relay.ConnectionReusePolicy;
import org.bulrushweir.relay.UnexpectedBytes;

/**
 * Pools open connections to endpoints for reuse.
 *
 * <p>Confined to the event loop.
 */
final class ConnectionPool {

  /**
   * The size of a connection's socket send buffer, in bytes; it bounds the bytes that the operating
   * system holds for a slow endpoint.
   */
  static final int SEND_BUFFER_BYTES = 65_536;

  /**
   * The time limit for opening a connection, in milliseconds: several round trips between
   * availability zones plus the endpoint's time to accept.
   */
  private static final int CONNECT_TIMEOUT_MS = 400;

  private final Map<EndpointRecord, Deque<EndpointConnection>> idleConnections = new HashMap<>();
  private final ConnectionReusePolicy reusePolicy = new ConnectionReusePolicy();
  private final Bootstrap bootstrap;
  private final Clock clock;
  private final UnexpectedBytesListener unexpectedBytes;
  private long opened;

  /**
   * Creates an empty pool.
   *
   * @param group the event loop group that runs the connections
   * @param clock the process's clock
   * @param unexpectedBytes receives reports of bytes that belong to no request
   */
  ConnectionPool(
      final EventLoopGroup group,
      final Clock clock,
      final UnexpectedBytesListener unexpectedBytes) {
    this.clock = clock;
    this.unexpectedBytes = unexpectedBytes;
    this.bootstrap =
        new Bootstrap()
            .group(group)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
            .option(ChannelOption.SO_SNDBUF, SEND_BUFFER_BYTES)
            .option(ChannelOption.TCP_NODELAY, true);
  }

  /**
   * Acquires a connection to an endpoint: the most recently used idle one, or a new one.
   *
   * @param endpoint the endpoint
   * @param maxIdleMs the longest time that a reused connection may have been idle, in milliseconds
   * @param onReady receives the open connection
   * @param onFailure receives the cause if no connection could be opened; nothing was sent in that
   *     case
   */
  void acquire(
      final EndpointRecord endpoint,
      final long maxIdleMs,
      final Consumer<EndpointConnection> onReady,
      final Consumer<String> onFailure) {
    final EndpointConnection reused = takeIdle(endpoint, maxIdleMs);
    if (reused != null) {
      onReady.accept(reused);
      return;
    }
    open(
        endpoint,
        onReady,
        cause ->
            onFailure.accept("could not connect to " + endpoint.id() + ": " + cause.getMessage()));
  }

  /**
   * Finds out whether an endpoint's process has ended, by opening and closing a connection.
   *
   * @param endpoint the endpoint
   * @param onResult receives true if the connection was refused, false if it was opened or if the
   *     endpoint could not be reached
   */
  void checkEnded(final EndpointRecord endpoint, final Consumer<Boolean> onResult) {
    open(
        endpoint,
        connection -> {
          connection.close();
          onResult.accept(false);
        },
        cause ->
            onResult.accept(
                cause instanceof ConnectException && !(cause instanceof ConnectTimeoutException)));
  }

  private EndpointConnection takeIdle(final EndpointRecord endpoint, final long maxIdleMs) {
    final Deque<EndpointConnection> connections = idleConnections.get(endpoint);
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
      final Consumer<EndpointConnection> onReady,
      final Consumer<Throwable> onFailure) {
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
                    final UndecodedBytesLimit limit = new UndecodedBytesLimit();
                    channel
                        .pipeline()
                        .addLast(
                            new IdleBytesHandler(connection),
                            limit.beforeDecoder(),
                            decoder,
                            limit.afterDecoder(),
                            new HttpRequestEncoder(),
                            connection);
                  }
                })
            .connect(endpoint.host(), endpoint.port());
    future.addListener(
        result -> {
          if (result.isSuccess()) {
            onReady.accept(connection);
          } else {
            onFailure.accept(result.cause());
          }
        });
  }

  /**
   * Handles bytes that belong to no request: connections to their endpoint are not reused for a
   * while.
   *
   * @param endpoint the endpoint that sent the bytes
   * @param request the id of the waiting request or, on an idle connection, of the last one
   * @param kind what was unexpected
   */
  void onUnexpectedBytes(
      final EndpointRecord endpoint, final String request, final UnexpectedBytes kind) {
    unexpectedBytes.onUnexpectedBytes(endpoint.id(), request, kind);
    reusePolicy.recordUnexpectedBytes(endpoint, clock.nowMs());
    List.copyOf(idleConnections.getOrDefault(endpoint, new ArrayDeque<>()))
        .forEach(EndpointConnection::close);
  }

  /**
   * Returns the number of endpoints whose connections are not reused.
   *
   * @return the count
   */
  int withoutReuse() {
    return reusePolicy.size();
  }

  /**
   * Returns a connection to the pool, where it is idle from now on, or closes it if it must not be
   * reused.
   *
   * @param connection the connection
   */
  void release(final EndpointConnection connection) {
    if (!connection.isOpen() || !reusePolicy.mayReuse(connection.endpoint(), clock.nowMs())) {
      connection.close();
      return;
    }
    connection.setIdleSince(clock.nowMs());
    idleConnections
        .computeIfAbsent(connection.endpoint(), key -> new ArrayDeque<>())
        .addLast(connection);
  }

  /**
   * Removes a closed connection from the pool.
   *
   * @param connection the closed connection
   */
  void remove(final EndpointConnection connection) {
    final Deque<EndpointConnection> connections = idleConnections.get(connection.endpoint());
    if (connections != null && connections.remove(connection) && connections.isEmpty()) {
      idleConnections.remove(connection.endpoint());
    }
  }

  /** Closes the connections whose idle time limit has passed. */
  void closeExpired() {
    final long nowMs = clock.nowMs();
    reusePolicy.removeExpired(nowMs);
    final List<EndpointConnection> expired = new ArrayList<>();
    idleConnections
        .values()
        .forEach(
            connections ->
                connections.stream()
                    .filter(connection -> !connection.isUsable(nowMs, Long.MAX_VALUE))
                    .forEach(expired::add));
    expired.forEach(EndpointConnection::close);
  }

  /**
   * Returns the number of connections opened since the process started.
   *
   * @return the count, failed attempts to connect included
   */
  long opened() {
    return opened;
  }
}
