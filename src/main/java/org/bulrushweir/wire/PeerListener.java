package org.bulrushweir.wire;

import org.bulrushweir.wire.generated.Envelope;

/**
 * Hears what happens on connections to peers. Methods are called on I/O threads; none may block.
 */
public interface PeerListener {

  /**
   * Hears of a message.
   *
   * @param channel the connection
   * @param envelope the message
   */
  void received(PeerChannel channel, Envelope envelope);

  /**
   * Hears that a connection has ended.
   *
   * @param channel the connection
   */
  void closed(PeerChannel channel);
}
