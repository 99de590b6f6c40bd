package org.bulrushweir.kernel;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/**
 * Builds, starts and stops the services of a process. Services are started in the order in which
 * they need each other and stopped in the reverse order.
 */
public final class Kernel implements ServiceRegistry {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final Map<String, KernelService> built = new LinkedHashMap<>();
  private final Set<String> building = new LinkedHashSet<>();
  private final Deque<Map.Entry<String, KernelService>> started = new ArrayDeque<>();
  private final Map<String, ServiceFactory> factories;

  /**
   * Creates a kernel without services.
   *
   * @param factories builds services by name
   */
  public Kernel(final Map<String, ServiceFactory> factories) {
    this.factories = Map.copyOf(factories);
  }

  @Override
  public <T extends KernelService> T find(final String name, final Class<T> type) {
    final KernelService known = built.get(name);
    if (known != null) {
      return type.cast(known);
    }
    final ServiceFactory factory = factories.get(name);
    if (factory == null) {
      throw new IllegalStateException("there is no service \"" + name + '"');
    }
    if (!building.add(name)) {
      throw new IllegalStateException("services need each other: " + building);
    }
    final KernelService service = factory.create(this);
    building.remove(name);
    built.put(name, service);
    return type.cast(service);
  }

  /** Builds and starts all services. If one fails, those already started are stopped. */
  public synchronized void start() {
    factories.keySet().stream().sorted().forEach(name -> find(name, KernelService.class));
    for (final Map.Entry<String, KernelService> entry : built.entrySet()) {
      try {
        entry.getValue().start();
      } catch (RuntimeException e) {
        stop();
        throw e;
      }
      started.addFirst(entry);
      logger.atFine().log("started %s", entry.getKey());
    }
  }

  /** Stops all started services, the last started first. Waits for a start that is under way. */
  public synchronized void stop() {
    while (!started.isEmpty()) {
      final Map.Entry<String, KernelService> entry = started.removeFirst();
      try {
        entry.getValue().stop();
        logger.atFine().log("stopped %s", entry.getKey());
      } catch (RuntimeException e) {
        logger.atWarning().withCause(e).log("stopping %s failed", entry.getKey());
      }
    }
  }
}
