package org.bulrushweir.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** Tests how long arrivals may have waited at a loop that is held up at any moment. */
class PollMonitorTest {

  private static final String SEED = "43";
  private static final int POLLS = 50;

  private final PollMonitor monitor = new PollMonitor(0);

  @Test
  void whatArrivesWhileThePollWaitsIsReadAtOnce() {
    monitor.pollStarted(0, 200);
    monitor.arrivalHandled(150);
    assertEquals(150, monitor.unreadSinceMs(150));
  }

  @Test
  void whatArrivesWhileAnotherArrivalIsHandledWaitsUntilTheNextPoll() {
    monitor.pollStarted(0, 200);
    monitor.arrivalHandled(50);
    monitor.pollEnded(1_050);
    monitor.pollStarted(1_060, 200);
    monitor.arrivalHandled(1_060);
    assertEquals(50, monitor.unreadSinceMs(1_060));
  }

  @Test
  void whatArrivesWhileTasksRunWaitsUntilTheNextPoll() {
    monitor.pollStarted(0, 0);
    monitor.pollEnded(0);
    assertEquals(0, monitor.unreadSinceMs(900));
    monitor.pollStarted(1_000, 200);
    monitor.arrivalHandled(1_000);
    assertEquals(0, monitor.unreadSinceMs(1_000));
    monitor.pollEnded(1_001);
    assertEquals(1_000, monitor.unreadSinceMs(1_001));
  }

  @Test
  void processThatIsStoppedWhileItWaitsPollsLate() {
    monitor.pollStarted(0, 100);
    monitor.arrivalHandled(1_100);
    assertEquals(100, monitor.unreadSinceMs(1_100));
  }

  @Test
  void whatArrivesBeforeTheFirstPollWaitsForIt() {
    monitor.pollStarted(700, 0);
    assertEquals(0, monitor.unreadSinceMs(700));
  }

  @Test
  void taskWaitsForPollThatStartsAfterIt() {
    final List<String> order = new ArrayList<>();
    monitor.pollStarted(0, 0);
    monitor.afterNextPoll(() -> order.add("first"));
    assertEquals(List.of(), monitor.pollEnded(1));
    monitor.afterNextPoll(() -> order.add("second"));
    assertTrue(monitor.hasPostponed());
    monitor.pollStarted(2, 0);
    monitor.pollEnded(3).forEach(Runnable::run);
    assertEquals(List.of("first", "second"), order);
    assertFalse(monitor.hasPostponed());
  }

  /**
   * Arrivals come at any time, polls wait and handle them, tasks run, and the loop is held up in
   * any of these. An arrival must never be older than the monitor says when it is handled, but for
   * the time that a stopped process would have waited.
   */
  @Property(seed = SEED)
  void noArrivalIsOlderThanTheMonitorSays(@ForAll final long seed) {
    final Random random = new Random(seed);
    final PollMonitor polled = new PollMonitor(0);
    long now = 0;
    long lastSelectMs = 0;
    for (int poll = 0; poll < POLLS; poll++) {
      final int maxWaitMs = random.nextInt(3) * 10;
      polled.pollStarted(now, maxWaitMs);
      final long startMs = now;
      final boolean waits = random.nextBoolean();
      now += waits ? random.nextInt(maxWaitMs + 1) : 0;
      final long oldestMs = waits ? now : lastSelectMs;
      final long selectMs = now;
      final int arrivals = 1 + random.nextInt(3);
      for (int arrival = 0; arrival < arrivals; arrival++) {
        polled.arrivalHandled(now);
        assertTrue(
            polled.unreadSinceMs(now) <= oldestMs,
            "an arrival of " + oldestMs + " ms is older, poll started at " + startMs);
        now += holdUp(random);
      }
      polled.pollEnded(now);
      now += holdUp(random);
      lastSelectMs = selectMs;
    }
  }

  private static int holdUp(final Random random) {
    return random.nextInt(10) == 0 ? random.nextInt(1_000) : random.nextInt(3);
  }
}
