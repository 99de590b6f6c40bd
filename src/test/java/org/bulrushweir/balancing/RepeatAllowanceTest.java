package org.bulrushweir.balancing;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.bulrushweir.api.ServiceName;
import org.junit.jupiter.api.Test;

/** Holds the common bound on repeats. */
class RepeatAllowanceTest {

  private static final String SEED = "12";
  private static final ServiceName SERVICE = new ServiceName("assistant");
  private static final RepeatBudget BUDGET = new RepeatBudget(0.2, 54, 10_000);
  private static final int ROUTERS = 4;

  /** Load: all attempts fail everywhere, and no router hears another. */
  @Property(tries = 50, seed = SEED)
  void repeatsOfAllRoutersStayWithinTheBudget(@ForAll final long seed) {
    final SplittableRandom random = new SplittableRandom(seed);
    final RepeatAllowance[] routers = new RepeatAllowance[ROUTERS];
    for (int router = 0; router < ROUTERS; router++) {
      routers[router] = new RepeatAllowance(BUDGET);
      routers[router].routers(ROUTERS);
    }
    final Deque<Long> requests = new ArrayDeque<>();
    final Deque<Long> repeats = new ArrayDeque<>();
    for (long nowMs = 0; nowMs < 60_000; nowMs += 1 + random.nextInt(20)) {
      final RepeatAllowance router = routers[random.nextInt(ROUTERS)];
      router.requested(SERVICE, nowMs);
      requests.addLast(nowMs);
      if (router.tryRepeat(SERVICE, nowMs)) {
        repeats.addLast(nowMs);
      }
      forget(requests, nowMs);
      forget(repeats, nowMs);
      assertTrue(
          repeats.size() <= BUDGET.ratio() * requests.size() + BUDGET.slack(),
          repeats.size() + " repeats of " + requests.size() + " requests");
    }
  }

  private static void forget(final Deque<Long> times, final long nowMs) {
    while (!times.isEmpty() && times.getFirst() <= nowMs - BUDGET.windowMs()) {
      times.removeFirst();
    }
  }

  @Test
  void allowanceComesBackWithTime() {
    final RepeatAllowance allowance = new RepeatAllowance(new RepeatBudget(0, 2, 10_000));
    assertTrue(allowance.tryRepeat(SERVICE, 0));
    assertTrue(!allowance.tryRepeat(SERVICE, 9_000));
    assertTrue(allowance.tryRepeat(SERVICE, 11_000));
  }
}
