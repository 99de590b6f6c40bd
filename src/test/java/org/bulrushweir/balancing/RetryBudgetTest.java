package org.bulrushweir.balancing;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.bulrushweir.api.ServiceName;
import org.junit.jupiter.api.Test;

/** Tests that the retries of all routers stay within the common budget. */
class RetryBudgetTest {

  private static final String SEED = "12";
  private static final ServiceName SERVICE = new ServiceName("assistant");
  private static final RetryBudgetSettings BUDGET = new RetryBudgetSettings(0.2, 54, 10_000);
  private static final int ROUTERS = 4;

  /** All attempts fail, and the routers receive no reports of each other. */
  @Property(tries = 50, seed = SEED)
  void retriesOfAllRoutersStayWithinTheBudget(@ForAll final long seed) {
    final SplittableRandom random = new SplittableRandom(seed);
    final RetryBudget[] routers = new RetryBudget[ROUTERS];
    for (int router = 0; router < ROUTERS; router++) {
      routers[router] = new RetryBudget(BUDGET);
      routers[router].setGatewayCount(ROUTERS);
    }
    final Deque<Long> requests = new ArrayDeque<>();
    final Deque<Long> retries = new ArrayDeque<>();
    for (long nowMs = 0; nowMs < 60_000; nowMs += 1 + random.nextInt(20)) {
      final RetryBudget router = routers[random.nextInt(ROUTERS)];
      router.recordRequest(SERVICE, nowMs);
      requests.addLast(nowMs);
      if (router.tryWithdraw(SERVICE, nowMs)) {
        retries.addLast(nowMs);
      }
      dropExpired(requests, nowMs);
      dropExpired(retries, nowMs);
      assertTrue(
          retries.size() <= BUDGET.ratio() * requests.size() + BUDGET.slack(),
          retries.size() + " retries of " + requests.size() + " requests");
    }
  }

  private static void dropExpired(final Deque<Long> times, final long nowMs) {
    while (!times.isEmpty() && times.getFirst() <= nowMs - BUDGET.windowMs()) {
      times.removeFirst();
    }
  }

  @Test
  void budgetIsReplenishedOverTime() {
    final RetryBudget retryBudget = new RetryBudget(new RetryBudgetSettings(0, 2, 10_000));
    assertTrue(retryBudget.tryWithdraw(SERVICE, 0));
    assertTrue(!retryBudget.tryWithdraw(SERVICE, 9_000));
    assertTrue(retryBudget.tryWithdraw(SERVICE, 11_000));
  }

  /** Retries of slow requests must leave enough for requests that would fail for good. */
  @Test
  void earlyRetriesLeaveHalfOfTheBudget() {
    final RetryBudget retryBudget = new RetryBudget(new RetryBudgetSettings(0, 10, 10_000));
    int early = 0;
    while (retryBudget.tryWithdrawEarly(SERVICE, 0)) {
      early++;
    }
    int others = 0;
    while (retryBudget.tryWithdraw(SERVICE, 0)) {
      others++;
    }
    assertTrue(early == 4 && others == 4, early + " and " + others);
  }
}
