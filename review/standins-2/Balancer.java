import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Chooses the gateway of a new connection as the platform does: it asks each one once a second
 * whether it is ready, and leaves it out after two misses until it is ready again.
 */
final class Balancer {

  private static final int MISSES = 2;
  private static final long INTERVAL_MS = 1_000;

  private final List<Gateway> gateways;
  private final Map<Gateway, Integer> misses = new HashMap<>();

  Balancer(final List<Gateway> gateways) {
    this.gateways = List.copyOf(gateways);
    for (final Gateway gateway : gateways) {
      Threads.start("balancer", () -> check(gateway));
    }
  }

  private void check(final Gateway gateway) {
    while (true) {
      final boolean ready = gateway.isReady();
      synchronized (this) {
        misses.put(gateway, ready ? 0 : misses.getOrDefault(gateway, 0) + 1);
      }
      try {
        Thread.sleep(INTERVAL_MS);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  /** Returns the gateway for a client, which is always the same if it is in rotation. */
  synchronized Gateway choose(final int client) {
    final List<Gateway> rotation = new ArrayList<>();
    for (final Gateway gateway : gateways) {
      if (misses.getOrDefault(gateway, 0) < MISSES) {
        rotation.add(gateway);
      }
    }
    final Gateway preferred = gateways.get(client % gateways.size());
    if (rotation.contains(preferred) || rotation.isEmpty()) {
      return preferred;
    }
    return rotation.get(client % rotation.size());
  }
}
