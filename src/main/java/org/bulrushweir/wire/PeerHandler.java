package org.bulrushweir.wire;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import org.bulrushweir.api.Identifiers;
import org.bulrushweir.api.Incarnation;
import org.bulrushweir.api.NodeId;
import org.bulrushweir.api.ZoneName;
import org.bulrushweir.wire.generated.Envelope;
import org.bulrushweir.wire.generated.Hello;

/** Exchanges hellos, then passes messages on to a listener. */
final class PeerHandler extends SimpleChannelInboundHandler<Envelope> {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Numbers the connections of this process in the order in which they are opened. */
  private static final AtomicLong COUNTER = new AtomicLong();

  private final PeerIdentity self;
  private final EnvelopeStamp stamp;
  private final PeerListener listener;
  private final CompletableFuture<PeerChannel> opened;
  private PeerChannel peer;
  private long number;

  /**
   * Creates a handler for one connection.
   *
   * @param self who this process is
   * @param stamp puts on every message what rides on all
   * @param listener hears the messages
   * @param opened completes when the peer's hello has come
   */
  PeerHandler(
      final PeerIdentity self,
      final EnvelopeStamp stamp,
      final PeerListener listener,
      final CompletableFuture<PeerChannel> opened) {
    this.self = self;
    this.stamp = stamp;
    this.listener = listener;
    this.opened = opened;
  }

  @Override
  public void channelActive(final ChannelHandlerContext context) {
    number = COUNTER.incrementAndGet();
    final Hello hello =
        Hello.newBuilder()
            .setNode(self.node().value())
            .setIncarnation(self.incarnation().value())
            .setZone(self.zone().value())
            .build();
    context.writeAndFlush(stamp.stamp(Envelope.newBuilder().setHello(hello)));
  }

  @Override
  protected void channelRead0(final ChannelHandlerContext context, final Envelope envelope) {
    stamp.observe(envelope);
    if (peer == null) {
      greet(context, envelope);
      return;
    }
    listener.received(peer, envelope);
  }

  private void greet(final ChannelHandlerContext context, final Envelope envelope) {
    final Hello hello = envelope.getHello();
    final boolean valid =
        envelope.hasHello()
            && Identifiers.isValid(hello.getNode())
            && Identifiers.isValid(hello.getZone());
    if (!valid) {
      logger.atWarning().log(
          "closing the connection from %s: its first message is not a valid hello",
          context.channel().remoteAddress());
      context.close();
      return;
    }
    final PeerIdentity remote =
        new PeerIdentity(
            new NodeId(hello.getNode()),
            new Incarnation(hello.getIncarnation()),
            new ZoneName(hello.getZone()));
    peer = new PeerChannel(context.channel(), remote, number, stamp);
    opened.complete(peer);
    listener.received(peer, envelope);
  }

  @Override
  public void channelInactive(final ChannelHandlerContext context) {
    opened.completeExceptionally(new IOException("the peer closed the connection"));
    if (peer != null) {
      listener.closed(peer);
    }
  }

  @Override
  public void exceptionCaught(final ChannelHandlerContext context, final Throwable cause) {
    logger.atWarning().log(
        "closing the connection with %s: %s", context.channel().remoteAddress(), cause);
    context.close();
  }
}
