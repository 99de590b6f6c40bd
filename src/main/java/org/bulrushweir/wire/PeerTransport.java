package org.bulrushweir.wire;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import io.netty.handler.flush.FlushConsolidationHandler;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.bulrushweir.wire.generated.Envelope;

/** Opens and accepts connections between the fleet's processes. */
public final class PeerTransport implements AutoCloseable {

  private static final int IO_THREADS = 2;
  private static final int LENGTH_BYTES = 4;
  private static final int MAXIMUM_MESSAGE_BYTES = 80 * 1_048_576;
  private static final int CONNECT_TIMEOUT_MS = 1_000;
  private static final int FLUSH_AFTER_MESSAGES = 64;

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(IO_THREADS, NioIoHandler.newFactory());
  private final PeerIdentity self;
  private final EnvelopeStamp stamp;

  /**
   * Creates the transport.
   *
   * @param self who this process is
   * @param stamp puts on every message what rides on all
   */
  public PeerTransport(final PeerIdentity self, final EnvelopeStamp stamp) {
    this.self = self;
    this.stamp = stamp;
  }

  /**
   * Returns who this process is.
   *
   * @return the identity that hellos carry
   */
  public PeerIdentity self() {
    return self;
  }

  /**
   * Accepts connections.
   *
   * @param host the IP number to bind
   * @param port the port, zero for any
   * @param listener hears the messages of all accepted connections
   * @return the bound port
   */
  public int listen(final String host, final int port, final PeerListener listener) {
    final Channel server =
        new ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel.class)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(initializer(listener, new CompletableFuture<>()))
            .bind(host, port)
            .syncUninterruptibly()
            .channel();
    return ((InetSocketAddress) server.localAddress()).getPort();
  }

  /**
   * Opens a connection.
   *
   * @param host the peer's IP number
   * @param port the peer's port
   * @param listener hears the messages
   * @return completes when the peer's hello has come; fails if that takes too long
   */
  public CompletableFuture<PeerChannel> connect(
      final String host, final int port, final PeerListener listener) {
    final CompletableFuture<PeerChannel> opened = new CompletableFuture<>();
    final var connecting =
        new Bootstrap()
            .group(group)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
            .option(ChannelOption.TCP_NODELAY, true)
            .handler(initializer(listener, opened))
            .connect(host, port);
    connecting.addListener(
        done -> {
          if (!done.isSuccess()) {
            opened.completeExceptionally(done.cause());
          }
        });
    opened
        .orTimeout(CONNECT_TIMEOUT_MS, TimeUnit.MILLISECONDS)
        .whenComplete(
            (channel, failure) -> {
              if (failure != null) {
                connecting.channel().close();
              }
            });
    return opened;
  }

  private ChannelInitializer<SocketChannel> initializer(
      final PeerListener listener, final CompletableFuture<PeerChannel> opened) {
    return new ChannelInitializer<>() {
      @Override
      protected void initChannel(final SocketChannel channel) {
        channel
            .pipeline()
            .addLast(new FlushConsolidationHandler(FLUSH_AFTER_MESSAGES, true))
            .addLast(
                new LengthFieldBasedFrameDecoder(
                    MAXIMUM_MESSAGE_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES))
            .addLast(new ProtobufDecoder(Envelope.getDefaultInstance()))
            .addLast(new LengthFieldPrepender(LENGTH_BYTES))
            .addLast(new ProtobufEncoder())
            .addLast(new PeerHandler(self, stamp, listener, opened));
      }
    };
  }

  @Override
  public void close() {
    group.shutdownGracefully(0, CONNECT_TIMEOUT_MS, TimeUnit.MILLISECONDS);
  }
}
