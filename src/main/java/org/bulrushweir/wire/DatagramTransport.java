package org.bulrushweir.wire;

import com.google.common.flogger.FluentLogger;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** Sends and receives datagrams. */
public final class DatagramTransport implements AutoCloseable {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** How long closing may take, in milliseconds. */
  private static final long CLOSE_TIMEOUT_MS = 1_000;

  /** The largest datagram that IPv4 carries, in bytes; longer reads would cut off its end. */
  private static final int MAX_DATAGRAM_BYTES = 65_507;

  /** The thread that receives. */
  private final EventLoopGroup group;

  /** The bound socket. */
  private final Channel channel;

  private DatagramTransport(final EventLoopGroup group, final Channel channel) {
    this.group = group;
    this.channel = channel;
  }

  /**
   * Binds a socket.
   *
   * @param host the IP number
   * @param port the port
   * @param receiver takes the datagrams that come; must not block
   * @return the transport
   */
  public static DatagramTransport bind(
      final String host, final int port, final Consumer<byte[]> receiver) {
    return bind(
        new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()), host, port, receiver);
  }

  /**
   * Binds a socket that shares a thread; closing the transport ends that thread too.
   *
   * @param group the thread
   * @param host the IP number
   * @param port the port
   * @param receiver takes the datagrams that come; must not block
   * @return the transport
   */
  public static DatagramTransport bind(
      final EventLoopGroup group,
      final String host,
      final int port,
      final Consumer<byte[]> receiver) {
    final Channel channel =
        new Bootstrap()
            .group(group)
            .channel(NioDatagramChannel.class)
            .option(
                ChannelOption.RECVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(MAX_DATAGRAM_BYTES))
            .handler(new Receiver(receiver))
            .bind(host, port)
            .syncUninterruptibly()
            .channel();
    return new DatagramTransport(group, channel);
  }

  /**
   * Returns the port.
   *
   * @return the bound port
   */
  public int port() {
    return ((InetSocketAddress) channel.localAddress()).getPort();
  }

  /**
   * Sends a datagram; it may be lost.
   *
   * @param host the receiver's IP number
   * @param port the receiver's port
   * @param content the content
   */
  public void send(final String host, final int port, final byte[] content) {
    channel.writeAndFlush(
        new DatagramPacket(Unpooled.wrappedBuffer(content), new InetSocketAddress(host, port)),
        channel.voidPromise());
  }

  @Override
  public void close() {
    channel.close();
    group.shutdownGracefully(0, CLOSE_TIMEOUT_MS, TimeUnit.MILLISECONDS);
  }

  /** Passes datagrams on. */
  private static final class Receiver extends SimpleChannelInboundHandler<DatagramPacket> {

    private final Consumer<byte[]> receiver;

    private Receiver(final Consumer<byte[]> receiver) {
      this.receiver = receiver;
    }

    @Override
    protected void channelRead0(final ChannelHandlerContext context, final DatagramPacket packet) {
      receiver.accept(ByteBufUtil.getBytes(packet.content()));
    }

    @Override
    public void exceptionCaught(final ChannelHandlerContext context, final Throwable cause) {
      if (cause instanceof IOException) {
        logger.atFine().log("a datagram was lost: %s", cause.getMessage());
        return;
      }
      logger.atWarning().withCause(cause).log("a datagram could not be handled");
    }
  }
}
