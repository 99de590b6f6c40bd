package org.bulrushweir.wire;

import io.netty.channel.Channel;
import org.bulrushweir.wire.generated.Envelope;

/** Sends messages over one connection to a peer. */
public final class PeerChannel {

  private final Channel channel;
  private final PeerIdentity remote;
  private final long number;
  private final EnvelopeStamp stamp;

  /**
   * Wraps a connection whose handshake is done.
   *
   * @param channel the connection
   * @param remote who is at the other end
   * @param number counts the connections of this process
   * @param stamp puts on every message what rides on all
   */
  PeerChannel(
      final Channel channel,
      final PeerIdentity remote,
      final long number,
      final EnvelopeStamp stamp) {
    this.channel = channel;
    this.remote = remote;
    this.number = number;
    this.stamp = stamp;
  }

  /**
   * Sends a message; it is lost if the connection ends.
   *
   * @param envelope the message, unstamped
   */
  public void send(final Envelope.Builder envelope) {
    channel.writeAndFlush(stamp.stamp(envelope), channel.voidPromise());
  }

  /**
   * Returns who is at the other end.
   *
   * @return the peer
   */
  public PeerIdentity remote() {
    return remote;
  }

  /**
   * Returns the connection's number.
   *
   * @return greater than those of all connections that were opened before in this process
   */
  public long number() {
    return number;
  }

  /**
   * Tells whether the connection is open.
   *
   * @return true while it is open
   */
  public boolean isOpen() {
    return channel.isActive();
  }

  /** Closes the connection. */
  public void close() {
    channel.close();
  }
}
