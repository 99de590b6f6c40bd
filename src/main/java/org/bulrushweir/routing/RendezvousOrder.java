package org.bulrushweir.routing;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.bulrushweir.api.EndpointId;

/**
 * Orders endpoints for a chat by rendezvous hashing: an endpoint that joins or leaves moves only
 * its own share of the chats.
 */
public final class RendezvousOrder {

  private static final long MIX_FACTOR_1 = 0xBF58476D1CE4E5B9L;
  private static final long MIX_FACTOR_2 = 0x94D049BB133111EBL;
  private static final int MIX_SHIFT_1 = 30;
  private static final int MIX_SHIFT_2 = 27;
  private static final int MIX_SHIFT_3 = 31;

  private RendezvousOrder() {}

  /**
   * Orders endpoints.
   *
   * @param chat the chat's hash
   * @param endpoints the endpoints
   * @return the endpoints, the chat's home first
   */
  public static List<EndpointId> order(final long chat, final List<EndpointId> endpoints) {
    final List<EndpointId> ordered = new ArrayList<>(endpoints);
    ordered.sort(
        Comparator.comparingLong((EndpointId endpoint) -> score(chat, endpoint))
            .reversed()
            .thenComparing(Comparator.naturalOrder()));
    return ordered;
  }

  private static long score(final long chat, final EndpointId endpoint) {
    final long seed =
        Hashing.murmur3_128().hashString(endpoint.value(), StandardCharsets.UTF_8).asLong();
    return mix(chat ^ seed);
  }

  /** Mixes the bits of a number so that each depends on all others. */
  private static long mix(final long value) {
    long mixed = value;
    mixed = (mixed ^ mixed >>> MIX_SHIFT_1) * MIX_FACTOR_1;
    mixed = (mixed ^ mixed >>> MIX_SHIFT_2) * MIX_FACTOR_2;
    return mixed ^ mixed >>> MIX_SHIFT_3;
  }
}
