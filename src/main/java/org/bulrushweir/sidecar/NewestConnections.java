package org.bulrushweir.sidecar;

import java.util.HashMap;
import java.util.Map;
import org.bulrushweir.wire.PeerChannel;
import org.bulrushweir.wire.PeerIdentity;

/**
 * Tracks the newest connection of each router. A router sends messages about attempts over one
 * connection at a time; once it has used a newer connection, messages that still arrive over an
 * older one are ignored. Not thread-safe.
 */
final class NewestConnections {

  /** The newest connection over which each router has sent a message about attempts. */
  private final Map<PeerIdentity, PeerChannel> newest = new HashMap<>();

  /**
   * Checks the connection of a message about attempts, and closes the older one of two connections.
   *
   * @param channel the connection over which the message arrived
   * @return false if the router has already used a newer connection, so that the message must be
   *     ignored
   */
  boolean accept(final PeerChannel channel) {
    final PeerChannel known = newest.get(channel.remote());
    if (known == channel) {
      return true;
    }
    if (known != null && known.number() > channel.number()) {
      channel.close();
      return false;
    }
    newest.put(channel.remote(), channel);
    if (known != null) {
      known.close();
    }
    return true;
  }

  /**
   * Removes a closed connection. The router's next connection is always newer.
   *
   * @param channel the closed connection
   */
  void closed(final PeerChannel channel) {
    newest.remove(channel.remote(), channel);
  }
}
