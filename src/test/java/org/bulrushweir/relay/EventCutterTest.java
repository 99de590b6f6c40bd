package org.bulrushweir.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** Tests the cutting of streams into whole events. */
class EventCutterTest {

  private static final String SEED = "99";

  private static String feed(final EventCutter cutter, final String text) {
    return new String(cutter.feed(text.getBytes(StandardCharsets.UTF_8)), StandardCharsets.UTF_8);
  }

  private static String event(final int id) {
    return "id: " + id + "\ndata: part " + id + "\n\n";
  }

  @Test
  void partOfAnEventIsHeldBack() {
    final EventCutter cutter = new EventCutter(-1);
    assertEquals(event(0), feed(cutter, event(0) + "id: 1\nda"));
    assertFalse(cutter.isBetweenEvents());
    assertEquals(event(1), feed(cutter, "ta: part 1\n\n"));
    assertTrue(cutter.isBetweenEvents());
    assertEquals(1, cutter.lastId());
  }

  @Test
  void streamGoesOnWithTheEventThatBrokeOff() {
    final EventCutter cutter = new EventCutter(-1);
    assertEquals(event(0), feed(cutter, event(0) + "id: 1\nda"));
    cutter.restart();
    assertEquals(event(1) + event(2), feed(cutter, event(0) + event(1) + event(2)));
  }

  @Test
  void eventsThatTheCallerHasAreLeftOut() {
    final EventCutter cutter = new EventCutter(4);
    assertEquals(event(5), feed(cutter, event(4) + event(5)));
  }

  @Test
  void eventsWithoutIdsAndOtherLineEndsArePassedOn() {
    final EventCutter cutter = new EventCutter(-1);
    assertEquals("data: a\r\n\r\n: b\n\n", feed(cutter, "data: a\r\n\r\n: b\n\n"));
  }

  @Property(seed = SEED)
  void cutsDoNotDependOnHowBytesArrive(@ForAll final long seed) {
    final Random random = new Random(seed);
    final StringBuilder text = new StringBuilder();
    for (int id = 0; id < 20; id++) {
      text.append(event(id));
    }
    final EventCutter cutter = new EventCutter(-1);
    final StringBuilder passedOn = new StringBuilder();
    int place = 0;
    while (place < text.length()) {
      final int end = Math.min(text.length(), place + 1 + random.nextInt(30));
      passedOn.append(feed(cutter, text.substring(place, end)));
      place = end;
    }
    assertEquals(text.toString(), passedOn.toString());
    assertTrue(cutter.isBetweenEvents());
  }
}
