package org.bulrushweir.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.stream.LongStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.bulrushweir.api.ModelName;
import org.bulrushweir.declaration.FencingPolicy;
import org.bulrushweir.simulation.EventQueue;
import org.junit.jupiter.api.Test;

/**
 * Checks over random schedules of pauses that an engine executes no order of a sidecar after one of
 * its successor, and that this fails without fencing. Also checks the rate of {@link PermitBucket}.
 */
class OrderPropertyTest {

  private static final String SEED = "3131";
  private static final int TRIES = 1_000;
  private static final long END_MS = 300_000;
  private static final long PAUSE_MS = 5_000;
  private static final long SEEDS_WITHOUT_FENCING = 1_000;
  private static final LoadedModel OLD_MODEL =
      new LoadedModel(new ModelName("old"), "1", List.of());
  private static final LoadedModel NEW_MODEL =
      new LoadedModel(new ModelName("new"), "1", List.of());

  /** An engine with a sidecar and its successor, both of which are paused at random. */
  private static final class Engine {

    private final EventQueue queue = new EventQueue(0);
    private final List<Long> orders = new ArrayList<>();
    private final List<LoadedModel> loaded = new ArrayList<>();
    private final SplittableRandom random;
    private final FencingPolicy policy;
    private final boolean fenced;
    private FenceRow fence = new FenceRow(0, 0);
    private long greatestNumberSeen;

    private Engine(final long seed, final FencingPolicy policy, final boolean fenced) {
      this.random = new SplittableRandom(seed);
      this.policy = policy;
      this.fenced = fenced;
      schedule(newMachine(OLD_MODEL), 1, 0);
      schedule(newMachine(NEW_MODEL), 2, random.nextInt(3_000));
      queue.runUntil(END_MS);
    }

    private OrderMachine newMachine(final LoadedModel model) {
      final OrderMachine machine = new OrderMachine(policy);
      machine.setPlan(List.of(model), policy);
      return machine;
    }

    private void schedule(final OrderMachine machine, final long incarnation, final long delayMs) {
      queue.schedule(
          delayMs,
          () -> {
            machine
                .on(new OrderEvent.Tick(), queue.nowMs())
                .ifPresent(action -> scheduleAction(machine, incarnation, action));
            schedule(machine, incarnation, 250);
          });
    }

    /**
     * Carries out an action, possibly after a pause. An order that immediately follows a check is
     * not delayed.
     */
    private void scheduleAction(
        final OrderMachine machine, final long incarnation, final OrderAction action) {
      final boolean rightAfterCheck =
          action instanceof OrderAction.GiveOrder && policy == FencingPolicy.IGNORED;
      final boolean paused = !rightAfterCheck && random.nextInt(5) == 0;
      queue.schedule(
          paused ? PAUSE_MS : rightAfterCheck ? 0 : 10,
          () -> {
            final Optional<OrderAction> next =
                machine.on(carryOut(incarnation, action), queue.nowMs());
            next.ifPresent(following -> scheduleAction(machine, incarnation, following));
          });
    }

    private OrderEvent carryOut(final long incarnation, final OrderAction action) {
      return switch (action) {
        case OrderAction.ReadEngine read -> new OrderEvent.EngineRead(List.copyOf(loaded));
        case OrderAction.AcquireFence acquire -> acquire(incarnation);
        case OrderAction.CheckFence check ->
            !fenced || fence.token() == check.number()
                ? new OrderEvent.FenceHeld(check.number())
                : new OrderEvent.FenceLost();
        case OrderAction.RequestPermit request -> new OrderEvent.PermitGranted();
        case OrderAction.GiveOrder order -> executeOrder(order);
      };
    }

    private OrderEvent acquire(final long incarnation) {
      if (fence.incarnation() > incarnation) {
        return new OrderEvent.FenceLost();
      }
      if (fence.incarnation() < incarnation) {
        fence = new FenceRow(fence.token() + 1, incarnation);
      }
      return new OrderEvent.FenceHeld(fence.token());
    }

    private OrderEvent executeOrder(final OrderAction.GiveOrder order) {
      final boolean checks = policy == FencingPolicy.CHECKED && fenced;
      if (checks && order.number() < greatestNumberSeen) {
        return new OrderEvent.OrderRefused();
      }
      greatestNumberSeen = Math.max(greatestNumberSeen, order.number());
      orders.add(order.number());
      loaded.remove(order.model());
      if (order.load()) {
        loaded.add(order.model());
      }
      return new OrderEvent.OrderDone();
    }

    /** Returns whether no order of a replaced sidecar was executed after one of its successor. */
    private boolean ordersAreFenced() {
      for (int index = 1; index < orders.size(); index++) {
        if (orders.get(index) < orders.get(index - 1)) {
          return false;
        }
      }
      return true;
    }
  }

  @Property(tries = TRIES, seed = SEED)
  void engineExecutesNoOrderOfStaleHolder(
      @ForAll @LongRange(min = 0) final long seed, @ForAll final FencingPolicy policy) {
    assertTrue(new Engine(seed, policy, true).ordersAreFenced());
  }

  @Test
  void withoutFencingStaleHoldersSometimesGiveOrders() {
    for (final FencingPolicy policy : FencingPolicy.values()) {
      assertTrue(
          LongStream.range(0, SEEDS_WITHOUT_FENCING)
              .anyMatch(seed -> !new Engine(seed, policy, false).ordersAreFenced()));
    }
  }

  @Property(tries = TRIES, seed = SEED)
  void engineLoadsThePlannedModels(
      @ForAll @LongRange(min = 0) final long seed, @ForAll final FencingPolicy policy) {
    assertEquals(List.of(NEW_MODEL), new Engine(seed, policy, true).loaded);
  }

  @Property(tries = TRIES, seed = SEED)
  void permitsNeverExceedTheRate(@ForAll @LongRange(min = 0) final long seed) {
    final SplittableRandom random = new SplittableRandom(seed);
    final double perMinute = 6;
    final double burst = 3;
    final List<Long> granted = new ArrayList<>();
    PermitBucket bucket = new PermitBucket(burst, 0);
    long platformMs = 0;
    for (int count = 0; count < 500; count++) {
      platformMs += random.nextInt(5_000);
      final long readMs = Math.max(0, platformMs - random.nextInt(2_000));
      final Optional<PermitBucket> taken = bucket.tryAcquire(perMinute, burst, readMs);
      if (taken.isPresent()) {
        bucket = taken.get();
        granted.add(platformMs);
      }
    }
    for (int first = 0; first < granted.size(); first++) {
      for (int last = first; last < granted.size(); last++) {
        final double windowMs = granted.get(last) - granted.get(first);
        final double allowed = burst + perMinute * (windowMs + 2_000) / 60_000;
        assertTrue(last - first + 1 <= allowed + 1e-6);
      }
    }
  }
}
