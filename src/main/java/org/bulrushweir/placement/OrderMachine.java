package org.bulrushweir.placement;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.bulrushweir.api.ModelName;
import org.bulrushweir.declaration.FencingPolicy;

/**
 * Brings an engine to have loaded what is planned for it, one order at a time. Every order carries
 * a fencing number. Where the engine ignores the number, the machine checks right before each order
 * that the number is still the latest. Models are unloaded only after they were out of the plan for
 * a while, so that a flapping endpoint does not make its peers reload.
 */
public final class OrderMachine {

  /** How long a model is out of the plan before it is unloaded, in milliseconds. */
  private static final long UNLOAD_AFTER_MS = 60_000;

  /** How often the engine is asked for its state, in milliseconds. */
  private static final long READ_INTERVAL_MS = 1_000;

  /** How long to wait after a failure or a denied permit, in milliseconds. */
  private static final long RETRY_INTERVAL_MS = 1_000;

  /** What the machine waits for. */
  private enum Phase {
    IDLE,
    READING,
    FENCING,
    PERMITTING,
    CHECKING,
    ORDERING,
    STOOD_DOWN
  }

  /** Since when models have been out of the plan, by name, in milliseconds. */
  private final Map<ModelName, Long> unplannedSinceMs = new HashMap<>();

  /** Who checks fencing numbers. */
  private FencingPolicy policy;

  /** What the engine shall have loaded. */
  private List<LoadedModel> planned = List.of();

  /** The current phase. */
  private Phase phase = Phase.IDLE;

  /** The fencing number, zero if none is held. */
  private long fence;

  /** The order under way, null if there is none. */
  private Order order;

  /** When to act again, in milliseconds. */
  private long actAtMs;

  /**
   * Creates a machine that plans nothing yet.
   *
   * @param policy who checks fencing numbers
   */
  public OrderMachine(final FencingPolicy policy) {
    this.policy = policy;
  }

  /**
   * Changes what the engine shall have loaded.
   *
   * @param models the models
   * @param newPolicy who checks fencing numbers
   */
  public void setPlan(final List<LoadedModel> models, final FencingPolicy newPolicy) {
    planned = List.copyOf(models);
    policy = newPolicy;
  }

  /**
   * Tells whether a later sidecar has taken over.
   *
   * @return true if no more orders are given
   */
  public boolean isSuperseded() {
    return phase == Phase.STOOD_DOWN;
  }

  /**
   * Takes an event.
   *
   * @param event the event
   * @param nowMs the current time
   * @return what to do, at most one action
   */
  public Optional<OrderAction> on(final OrderEvent event, final long nowMs) {
    return switch (event) {
      case OrderEvent.Tick tick -> tick(nowMs);
      case OrderEvent.EngineRead read -> engineRead(read.loaded(), nowMs);
      case OrderEvent.FenceHeld held -> fenceHeld(held.number());
      case OrderEvent.FenceLost lost -> standDown();
      case OrderEvent.OrderRefused refused -> standDown();
      case OrderEvent.PermitGranted granted -> permitted();
      case OrderEvent.PermitDenied denied -> rest(nowMs + RETRY_INTERVAL_MS);
      case OrderEvent.Failed failed -> rest(nowMs + RETRY_INTERVAL_MS);
      case OrderEvent.OrderDone done -> rest(nowMs);
    };
  }

  private Optional<OrderAction> rest(final long untilMs) {
    phase = Phase.IDLE;
    order = null;
    actAtMs = untilMs;
    return Optional.empty();
  }

  private Optional<OrderAction> standDown() {
    phase = Phase.STOOD_DOWN;
    order = null;
    return Optional.empty();
  }

  private Optional<OrderAction> tick(final long nowMs) {
    if (phase != Phase.IDLE || nowMs < actAtMs || planned.isEmpty()) {
      return Optional.empty();
    }
    phase = Phase.READING;
    return Optional.of(new OrderAction.ReadEngine());
  }

  private Optional<OrderAction> engineRead(final List<LoadedModel> loaded, final long nowMs) {
    final Optional<Order> next = nextOrder(loaded, nowMs);
    if (next.isEmpty()) {
      return rest(nowMs + READ_INTERVAL_MS);
    }
    order = next.get();
    if (fence == 0) {
      phase = Phase.FENCING;
      return Optional.of(new OrderAction.AcquireFence());
    }
    return askPermit();
  }

  private Optional<Order> nextOrder(final List<LoadedModel> loaded, final long nowMs) {
    for (final LoadedModel model : planned) {
      if (!loaded.contains(model)) {
        return Optional.of(new Order(model, true));
      }
    }
    final Set<ModelName> plannedNames = new HashSet<>();
    planned.forEach(model -> plannedNames.add(model.name()));
    unplannedSinceMs.keySet().removeAll(plannedNames);
    for (final LoadedModel model : loaded) {
      if (plannedNames.contains(model.name())) {
        continue;
      }
      final long sinceMs = unplannedSinceMs.computeIfAbsent(model.name(), name -> nowMs);
      if (nowMs - sinceMs >= UNLOAD_AFTER_MS) {
        return Optional.of(new Order(model, false));
      }
    }
    return Optional.empty();
  }

  private Optional<OrderAction> fenceHeld(final long number) {
    fence = number;
    return switch (phase) {
      case FENCING -> askPermit();
      case CHECKING -> giveOrder();
      default -> Optional.empty();
    };
  }

  private Optional<OrderAction> askPermit() {
    if (!order.load()) {
      return permitted();
    }
    phase = Phase.PERMITTING;
    return Optional.of(new OrderAction.RequestPermit());
  }

  private Optional<OrderAction> permitted() {
    if (policy == FencingPolicy.IGNORED) {
      phase = Phase.CHECKING;
      return Optional.of(new OrderAction.CheckFence(fence));
    }
    return giveOrder();
  }

  private Optional<OrderAction> giveOrder() {
    phase = Phase.ORDERING;
    return Optional.of(new OrderAction.GiveOrder(fence, order.model(), order.load()));
  }

  /**
   * Names an order.
   *
   * @param model the model
   * @param load true to load it, false to unload it
   */
  private record Order(LoadedModel model, boolean load) {}
}
