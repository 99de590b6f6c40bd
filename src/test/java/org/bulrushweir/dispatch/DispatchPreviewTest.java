package org.bulrushweir.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Optional;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.bulrushweir.api.OrganisationId;
import org.bulrushweir.balancing.ServiceRoom;

/** Tests that a decision is foretold as it is made. */
class DispatchPreviewTest {

  private static final int STEPS = 150;
  private static final int SLOTS = 6;
  private static final long START_MS = 1_000_000;

  private static ServiceDispatcher dispatcher() {
    return new ServiceDispatcher(new DispatchPolicy(new DispatchSettings(true, 1.5), () -> 0));
  }

  /**
   * Guards against a preview by another rule than the decision's, and against one that leaves a
   * trace: the dispatcher that is never asked decides alike.
   */
  @Property(tries = 200)
  void previewIsTheDecisionAndNothingChanges(@ForAll final long seed) {
    final SplittableRandom random = new SplittableRandom(seed);
    final ServiceDispatcher asked = dispatcher();
    final ServiceDispatcher plain = dispatcher();
    long nowMs = START_MS;
    for (int number = 0; number < STEPS; number++) {
      nowMs += random.nextInt(40);
      final DispatchRequest request =
          new DispatchRequest(
              number,
              random.nextInt(3),
              Optional.of(new OrganisationId("o" + random.nextInt(4))),
              nowMs,
              nowMs,
              250,
              nowMs + 200 + random.nextInt(1_000),
              60);
      final int inFlight = random.nextInt(2 * SLOTS);
      final ServiceLoad load =
          new ServiceLoad(new ServiceRoom(3, SLOTS, inFlight), inFlight, 1, random.nextInt(400));
      final DispatchDecision preview = asked.preview(request, load, nowMs);
      final DispatchDecision decision = asked.offer(request, load, nowMs);
      assertEquals(decision, preview);
      assertEquals(decision, plain.offer(request, load, nowMs));
      for (final ServiceDispatcher each : new ServiceDispatcher[] {asked, plain}) {
        each.recordCompletion(request, true, 60, nowMs);
      }
      if (random.nextInt(3) == 0) {
        assertEquals(plain.next(load, nowMs), asked.next(load, nowMs));
      }
      assertEquals(plain.rejectLate(load, nowMs), asked.rejectLate(load, nowMs));
      assertEquals(plain.demand(nowMs), asked.demand(nowMs));
    }
  }
}
