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
 * State machine that makes an engine load the models planned for it and unload the others, one
 * order at a time. Not thread-safe.
 *
 * <p>Every order carries a fencing token. If the engine ignores it, the state machine checks
 * immediately before each order that the token is still the latest one. A model is unloaded only
 * after it has been out of the plan for a while, so that a flapping endpoint does not make its
 * peers reload models. Models whose name is in the plan are never unloaded, and with an empty plan
 * no order is given.
 */
public final class OrderMachine {

  /** The time for which a model must be out of the plan before it is unloaded, in milliseconds. */
  private static final long UNLOAD_AFTER_MS = 60_000;

  /** The interval at which the engine's state is read, in milliseconds. */
  private static final long READ_INTERVAL_MS = 1_000;

  /** The delay before a retry after a failure or a denied permit, in milliseconds. */
  private static final long RETRY_INTERVAL_MS = 1_000;

  /** Phase of the state machine. */
  private enum Phase {
    IDLE,
    READING,
    FENCING,
    PERMITTING,
    CHECKING,
    ORDERING,
    SUPERSEDED
  }

  /**
   * When each loaded model was first seen to be out of the plan, by name, in milliseconds of the
   * sidecar's clock.
   */
  private final Map<ModelName, Long> unplannedSinceMs = new HashMap<>();

  /** Whether the engine checks fencing tokens. */
  private FencingPolicy policy;

  /** The models that the engine is to have loaded. */
  private List<LoadedModel> planned = List.of();

  /** The current phase; an action is in progress unless it is idle or superseded. */
  private Phase phase = Phase.IDLE;

  /** The fencing token, zero if none is held. */
  private long fencingToken;

  /** The order in progress, null if there is none. */
  private Order order;

  /** The earliest time of the next action, in milliseconds of the sidecar's clock. */
  private long nextActionMs;

  /**
   * Creates a state machine with an empty plan.
   *
   * @param policy whether the engine checks fencing tokens
   */
  public OrderMachine(final FencingPolicy policy) {
    this.policy = policy;
  }

  /**
   * Replaces the plan.
   *
   * @param models the models that the engine is to have loaded; if empty, no orders are given
   * @param newPolicy whether the engine checks fencing tokens
   */
  public void setPlan(final List<LoadedModel> models, final FencingPolicy newPolicy) {
    planned = List.copyOf(models);
    policy = newPolicy;
  }

  /**
   * Returns whether a later incarnation of the sidecar holds the right to give orders.
   *
   * @return true if this state machine gives no more orders
   */
  public boolean isSuperseded() {
    return phase == Phase.SUPERSEDED;
  }

  /**
   * Processes an event.
   *
   * @param event the event
   * @param nowMs the current time of the sidecar's clock, in milliseconds
   * @return the action to carry out, empty if there is none
   */
  public Optional<OrderAction> on(final OrderEvent event, final long nowMs) {
    return switch (event) {
      case OrderEvent.Tick tick -> tick(nowMs);
      case OrderEvent.EngineRead read -> engineRead(read.loaded(), nowMs);
      case OrderEvent.FenceHeld held -> fenceHeld(held.number());
      case OrderEvent.FenceLost lost -> stopOrders();
      case OrderEvent.OrderRefused refused -> stopOrders();
      case OrderEvent.PermitGranted granted -> permitGranted();
      case OrderEvent.PermitDenied denied -> idleUntil(nowMs + RETRY_INTERVAL_MS);
      case OrderEvent.Failed failed -> idleUntil(nowMs + RETRY_INTERVAL_MS);
      case OrderEvent.OrderDone done -> idleUntil(nowMs);
    };
  }

  private Optional<OrderAction> idleUntil(final long untilMs) {
    phase = Phase.IDLE;
    order = null;
    nextActionMs = untilMs;
    return Optional.empty();
  }

  private Optional<OrderAction> stopOrders() {
    phase = Phase.SUPERSEDED;
    order = null;
    return Optional.empty();
  }

  private Optional<OrderAction> tick(final long nowMs) {
    if (phase != Phase.IDLE || nowMs < nextActionMs || planned.isEmpty()) {
      return Optional.empty();
    }
    phase = Phase.READING;
    return Optional.of(new OrderAction.ReadEngine());
  }

  private Optional<OrderAction> engineRead(final List<LoadedModel> loaded, final long nowMs) {
    final Optional<Order> next = nextOrder(loaded, nowMs);
    if (next.isEmpty()) {
      return idleUntil(nowMs + READ_INTERVAL_MS);
    }
    order = next.get();
    if (fencingToken == 0) {
      phase = Phase.FENCING;
      return Optional.of(new OrderAction.AcquireFence());
    }
    return requestPermit();
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

  private Optional<OrderAction> fenceHeld(final long token) {
    fencingToken = token;
    return switch (phase) {
      case FENCING -> requestPermit();
      case CHECKING -> giveOrder();
      default -> Optional.empty();
    };
  }

  private Optional<OrderAction> requestPermit() {
    if (!order.load()) {
      return permitGranted();
    }
    phase = Phase.PERMITTING;
    return Optional.of(new OrderAction.RequestPermit());
  }

  private Optional<OrderAction> permitGranted() {
    if (policy == FencingPolicy.IGNORED) {
      phase = Phase.CHECKING;
      return Optional.of(new OrderAction.CheckFence(fencingToken));
    }
    return giveOrder();
  }

  private Optional<OrderAction> giveOrder() {
    phase = Phase.ORDERING;
    return Optional.of(new OrderAction.GiveOrder(fencingToken, order.model(), order.load()));
  }

  /**
   * An order to load or unload a model.
   *
   * @param model the model
   * @param load true to load it, false to unload it
   */
  private record Order(LoadedModel model, boolean load) {}
}
