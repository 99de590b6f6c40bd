package org.bulrushweir.dispatch;

import static org.junit.jupiter.api.Assertions.assertAll;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.IntPredicate;
import java.util.function.Predicate;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests queueing at a plain service with 18 slots, 60 ms of work and 100 requests per second that
 * grow in bursts, a third of the slots gone, and 24 organisations.
 */
class DispatchLoadTest {

  private static final int SLOTS = 18;
  private static final int SLOTS_LEFT = 12;
  private static final long WORK_MS = 60;
  private static final long TARGET_MS = 250;
  private static final long LIMIT_MS = 1_200;
  private static final int ORGANISATIONS = 24;
  private static final double PER_MS = 0.1;
  private static final double BURST = 2.6;
  private static final double FLOOD = 7.5;
  private static final double URGENT = 0.25;
  private static final int RUN_MS = 10_000;
  private static final long SEED = 7;

  private final Random random = new Random(SEED);

  private static String organisation(final int number) {
    return "org-" + number;
  }

  /** Runs a burst; organisation 0 sends a multiple of what each other one sends. */
  private void run(
      final VirtualFleet fleet, final double perMs, final double flood, final double urgent) {
    final double others = ORGANISATIONS - 1;
    for (int ms = 0; ms < RUN_MS; ms++) {
      for (int number = 0; number < ORGANISATIONS; number++) {
        final double share = perMs * (number == 0 ? flood : 1) / (others + 1);
        if (random.nextDouble() < share) {
          final int rank = random.nextDouble() < urgent ? 0 : 5;
          fleet.arrive(organisation(number), rank, TARGET_MS, LIMIT_MS, WORK_MS);
        }
      }
      fleet.advance();
    }
    for (int ms = 0; ms < 2 * LIMIT_MS; ms++) {
      fleet.advance();
    }
  }

  private static long count(
      final VirtualFleet fleet, final Predicate<VirtualFleet.Call> condition) {
    return fleet.calls().stream().filter(condition).count();
  }

  private static double share(
      final VirtualFleet fleet,
      final IntPredicate rank,
      final Predicate<VirtualFleet.Call> condition) {
    final List<VirtualFleet.Call> calls =
        fleet.calls().stream().filter(call -> rank.test(call.request().rank())).toList();
    return (double) calls.stream().filter(condition).count() / calls.size();
  }

  /** Guards against urgent requests that are refused or late while less urgent ones are served. */
  @ParameterizedTest
  @ValueSource(ints = {3, 12, 30})
  void urgentRequestsAreServedInTimeWhenThirdOfSlotsIsGone(final int gateways) {
    final VirtualFleet fleet = new VirtualFleet(gateways, SLOTS_LEFT, true, SEED);
    run(fleet, PER_MS * BURST, 1, URGENT);
    final VirtualFleet today = new VirtualFleet(gateways, SLOTS_LEFT, false, SEED);
    run(today, PER_MS * BURST, 1, URGENT);
    final double inTime = share(fleet, rank -> rank == 0, VirtualFleet.Call::isInTime);
    final long answered = count(fleet, VirtualFleet.Call::isAnswered);
    final long answeredToday = count(today, VirtualFleet.Call::isAnswered);
    assertAll(
        () -> assertTrue(inTime > 0.85, "urgent requests in time: " + inTime),
        () -> assertTrue(answered >= 0.97 * answeredToday, answered + " of " + answeredToday),
        () ->
            assertEquals(
                0,
                count(fleet, call -> call.isRejected() && call.request().rank() == 0),
                "rejected urgent requests"));
  }

  /** Guards against an order in which, under overload, each request waits until it is late. */
  @ParameterizedTest
  @ValueSource(ints = {3, 12})
  void mostRequestsAreInTimeWhenCapacityIsShort(final int gateways) {
    assertMostInTime(gateways);
  }

  /** Guards against the same with more gateways than slots. */
  @Test
  void mostRequestsAreInTimeWithMoreGatewaysThanSlots() {
    assertMostInTime(30);
  }

  private void assertMostInTime(final int gateways) {
    final VirtualFleet fleet = new VirtualFleet(gateways, SLOTS_LEFT, true, SEED);
    run(fleet, PER_MS * BURST, 1, 0);
    final double inTime = share(fleet, rank -> true, VirtualFleet.Call::isInTime);
    final double possible = SLOTS_LEFT / (WORK_MS * PER_MS * BURST);
    assertTrue(
        inTime >= 0.75 * possible, "in time: " + inTime + ", with no order at most " + possible);
  }

  /** Guards against an organisation that takes the capacity of others by asking for more. */
  @ParameterizedTest
  @CsvSource({"3", "12", "30"})
  void organisationThatFloodsBearsTheCostItself(final int gateways) {
    final VirtualFleet fleet = new VirtualFleet(gateways, SLOTS_LEFT, true, SEED);
    run(fleet, PER_MS * BURST, FLOOD, 0);
    final Map<String, Double> asked = new TreeMap<>();
    final Map<String, Double> served = new TreeMap<>();
    for (final VirtualFleet.Call call : fleet.calls()) {
      asked.merge(call.organisation(), 1.0, Double::sum);
      served.merge(call.organisation(), call.isAnswered() ? 1.0 : 0.0, Double::sum);
    }
    final Map<String, Double> ideal = idealShares(asked, sum(served));
    double error = 0;
    double worst = 1;
    for (final String name : asked.keySet()) {
      error += Math.abs(served.get(name) - ideal.get(name)) / 2;
      if (!name.equals(organisation(0))) {
        worst = Math.min(worst, served.get(name) / ideal.get(name));
      }
    }
    final double relative = error / sum(served);
    final double all = sum(served) / sum(asked);
    final double flood = served.get(organisation(0)) / asked.get(organisation(0));
    final double lowest = worst;
    assertAll(
        () -> assertTrue(relative < 0.1, "misplaced share of the work: " + relative),
        () -> assertTrue(lowest > 0.7, "smallest share of an other organisation: " + lowest),
        () -> assertTrue(flood >= 0.25 * all, flood + " of the flood, of all " + all));
  }

  private static double sum(final Map<String, Double> values) {
    return values.values().stream().mapToDouble(Double::doubleValue).sum();
  }

  /** Returns the largest equal shares that nobody exceeds by asking for less. */
  private static Map<String, Double> idealShares(
      final Map<String, Double> asked, final double total) {
    double level = 0;
    double given = 0;
    while (given < total) {
      level++;
      final double bound = level;
      given = asked.values().stream().mapToDouble(each -> Math.min(each, bound)).sum();
    }
    final double bound = level;
    final Map<String, Double> shares = new TreeMap<>();
    asked.forEach((name, each) -> shares.put(name, Math.min(each, bound)));
    return shares;
  }

  /** Guards against requests that are held although slots are idle, because reports are old. */
  @ParameterizedTest
  @ValueSource(ints = {3, 12, 30})
  void nobodyIsHeldOrRejectedWhileThereIsRoom(final int gateways) {
    final VirtualFleet fleet = new VirtualFleet(gateways, SLOTS, true, SEED);
    run(fleet, PER_MS * 1.7, FLOOD / 2, URGENT);
    final long held = count(fleet, call -> call.isAnswered() && call.sentAfterMs() > 20);
    final long rejected = count(fleet, VirtualFleet.Call::isRejected);
    assertAll(
        () -> assertTrue(held <= fleet.calls().size() / 100, held + " held"),
        () -> assertEquals(0, rejected));
  }

  /** Guards against estimates that reject what a nearly full service can serve in time. */
  @ParameterizedTest
  @ValueSource(ints = {3, 12, 30})
  void nothingIsRejectedByNearlyFullService(final int gateways) {
    final VirtualFleet fleet = new VirtualFleet(gateways, SLOTS, true, SEED);
    run(fleet, PER_MS * BURST, 1, URGENT);
    final long late = count(fleet, call -> !call.isInTime());
    assertAll(
        () -> assertEquals(0, count(fleet, VirtualFleet.Call::isRejected)),
        () -> assertTrue(late <= fleet.calls().size() / 100, late + " late"));
  }
}
