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
class RetryBudgetTest {

  private static final String SEED = "12";
  private static final ServiceName SERVICE = new ServiceName("assistant");
  private static final RetryBudgetSettings BUDGET = new RetryBudgetSettings(0.2, 54, 10_000);
  private static final int ROUTERS = 4;

  /** Load: all attempts fail everywhere, and no router hears another. */
  @Property(tries = 50, seed = SEED)
  void repeatsOfAllRoutersStayWithinTheBudget(@ForAll final long seed) {
    final SplittableRandom random = new SplittableRandom(seed);
    final RetryBudget[] routers = new RetryBudget[ROUTERS];
    for (int router = 0; router < ROUTERS; router++) {
      routers[router] = new RetryBudget(BUDGET);
      routers[router].setRouterCount(ROUTERS);
    }
    final Deque<Long> requests = new ArrayDeque<>();
    final Deque<Long> repeats = new ArrayDeque<>();
    for (long nowMs = 0; nowMs < 60_000; nowMs += 1 + random.nextInt(20)) {
      final RetryBudget router = routers[random.nextInt(ROUTERS)];
      router.recordRequest(SERVICE, nowMs);
      requests.addLast(nowMs);
      if (router.tryWithdraw(SERVICE, nowMs)) {
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
    final RetryBudget retryBudget = new RetryBudget(new RetryBudgetSettings(0, 2, 10_000));
    assertTrue(retryBudget.tryWithdraw(SERVICE, 0));
    assertTrue(!retryBudget.tryWithdraw(SERVICE, 9_000));
    assertTrue(retryBudget.tryWithdraw(SERVICE, 11_000));
  }
}
