package org.bulrushweir.sidecar;

import java.util.HashMap;
import java.util.Map;
import org.bulrushweir.wire.PeerChannel;
import org.bulrushweir.wire.PeerIdentity;

/**
 * Tells which connection of a router counts. A router talks about attempts over one connection at a
 * time; once it does so over a newer one, whatever still comes over an older one is void. Not safe
 * for use by many threads.
 */
final class NewestConnections {

  /** The newest connection over which each router has talked about attempts. */
  private final Map<PeerIdentity, PeerChannel> newest = new HashMap<>();

  /**
   * Takes note of a message about attempts.
   *
   * @param channel the connection that it came over
   * @return false if the router has used a newer connection already, so that the message is void
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
   * Forgets a connection that has ended. The router's next one is newer in any case.
   *
   * @param channel the connection
   */
  void closed(final PeerChannel channel) {
    newest.remove(channel.remote(), channel);
  }
}
