package org.bulrushweir.gateway;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.OutputStream;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.bulrushweir.demo.DemoCall;
import org.bulrushweir.demo.DemoCaller;
import org.bulrushweir.demo.DemoFleet;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests what gateways do with prompts that share a segment under which engines crash. */
class CrashingPromptTest {

  /** The number of crashes after which the segment must be known, as the users state it. */
  private static final int KNOWN_AFTER_CRASHES = 5;

  /** The time that gateways have to stop sending the segment after that, in milliseconds. */
  private static final long CONTACT_MS = 3_000;

  private static final int MAX_LATE_ARRIVALS = 3;
  private static final double MIN_SOUND_SHARE = 0.5;

  /** The chat whose document crashes engines; its first segment is that of all chats. */
  private static final int CRASHING_CHAT = 999;

  private static final int ENGINES = 5;
  private static final long PLAY_MS = 9_000;
  private static final long PAUSE_MS = 25;
  private static final int CRASHING_REQUEST_EVERY = 5;

  private final DemoFleet fleet =
      new DemoFleet(new PrintStream(OutputStream.nullOutputStream()), 0);
  private final DemoCaller caller = new DemoCaller();
  private final List<CrashingEngine> engines = new ArrayList<>();
  private final List<GatewayService> gateways = new ArrayList<>();

  @BeforeEach
  void start() throws InterruptedException {
    for (int number = 0; number < ENGINES; number++) {
      engines.add(
          new CrashingEngine(fleet, "engine-" + number, Integer.toHexString(CRASHING_CHAT + 16)));
    }
    gateways.add(fleet.startGateway("gateway-1"));
    gateways.add(fleet.startGateway("gateway-2"));
    Thread.sleep(1_000);
  }

  @AfterEach
  void close() {
    caller.close();
    fleet.close();
    engines.forEach(CrashingEngine::close);
  }

  /** Returns the time of the fifth crash, or of the last one if there are fewer. */
  private long decisiveCrashMs() {
    final List<Long> crashes = new ArrayList<>();
    engines.forEach(engine -> crashes.addAll(engine.crashes()));
    crashes.sort(null);
    return crashes.isEmpty()
        ? Long.MAX_VALUE - CONTACT_MS
        : crashes.get(Math.min(KNOWN_AFTER_CRASHES, crashes.size()) - 1);
  }

  private void send(final int number, final int chat, final AtomicInteger served) {
    final GatewayService gateway = gateways.get(number % gateways.size());
    Thread.ofVirtual()
        .start(
            () -> {
              if (caller.send(gateway.callersPort(), DemoCall.draft("r" + number, chat)).served()) {
                served.incrementAndGet();
              }
            });
  }

  @Test
  void segmentThatCrashesEnginesIsNoLongerSentAfterFiveCrashes() throws InterruptedException {
    final AtomicInteger soundServed = new AtomicInteger();
    int soundSent = 0;
    final long endMs = System.currentTimeMillis() + PLAY_MS;
    int number = 0;
    while (System.currentTimeMillis() < endMs) {
      number++;
      if (number % CRASHING_REQUEST_EVERY == 0) {
        send(number, CRASHING_CHAT, new AtomicInteger());
      } else {
        final boolean counted = System.currentTimeMillis() > decisiveCrashMs() + CONTACT_MS;
        soundSent += counted ? 1 : 0;
        send(number, number % 20, counted ? soundServed : new AtomicInteger());
      }
      Thread.sleep(PAUSE_MS);
    }
    Thread.sleep(500);
    final long knownMs = decisiveCrashMs() + CONTACT_MS;
    final long late =
        engines.stream()
            .flatMap(engine -> engine.arrivals().stream())
            .filter(arrivedMs -> arrivedMs > knownMs)
            .count();
    assertTrue(late <= MAX_LATE_ARRIVALS, late + " requests with the segment were sent late");
    assertTrue(soundSent > 0, "no sound request was sent late enough to count");
    assertTrue(
        soundServed.get() >= MIN_SOUND_SHARE * soundSent,
        soundServed + " of " + soundSent + " sound requests were served");
  }
}
