package org.bulrushweir.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** Tests the splitting of streams into complete events. */
class EventStreamFramerTest {

  private static final String SEED = "99";

  private static String feed(final EventStreamFramer framer, final String text) {
    return new String(framer.feed(text.getBytes(StandardCharsets.UTF_8)), StandardCharsets.UTF_8);
  }

  private static String event(final int id) {
    return "id: " + id + "\ndata: part " + id + "\n\n";
  }

  @Test
  void incompleteEventIsBuffered() {
    final EventStreamFramer framer = new EventStreamFramer(Optional.empty());
    assertEquals(event(0), feed(framer, event(0) + "id: 1\nda"));
    assertFalse(framer.isAtEventBoundary());
    assertEquals(event(1), feed(framer, "ta: part 1\n\n"));
    assertTrue(framer.isAtEventBoundary());
    assertEquals(EventId.parse("1"), framer.lastEventId());
  }

  /** Guards against a process that stands still while a long event arrives byte by byte. */
  @Test
  void longEventThatArrivesByteByByteIsCheap() {
    final EventStreamFramer framer = new EventStreamFramer(Optional.empty());
    final byte[] part = {'a'};
    assertTimeoutPreemptively(
        Duration.ofSeconds(1),
        () -> {
          while (!framer.isEventTooLong()) {
            assertEquals(0, framer.feed(part).length);
          }
        });
  }

  @Test
  void resumedStreamStartsWithTheInterruptedEvent() {
    final EventStreamFramer framer = new EventStreamFramer(Optional.empty());
    assertEquals(event(0), feed(framer, event(0) + "id: 1\nda"));
    framer.startResponse();
    assertEquals(event(1) + event(2), feed(framer, event(0) + event(1) + event(2)));
  }

  @Test
  void eventsThatTheCallerHasAreDropped() {
    final EventStreamFramer framer = new EventStreamFramer(EventId.parse("4"));
    assertEquals(event(5), feed(framer, event(4) + event(5)));
  }

  @Test
  void eventsWithoutIdsAndWithOtherLineEndsAreForwarded() {
    final EventStreamFramer framer = new EventStreamFramer(Optional.empty());
    assertEquals("data: a\r\n\r\n: b\n\n", feed(framer, "data: a\r\n\r\n: b\n\n"));
  }

  @Property(seed = SEED)
  void framingDoesNotDependOnChunkBoundaries(@ForAll final long seed) {
    final Random random = new Random(seed);
    final StringBuilder text = new StringBuilder();
    for (int id = 0; id < 20; id++) {
      text.append(event(id));
    }
    final EventStreamFramer framer = new EventStreamFramer(Optional.empty());
    final StringBuilder forwarded = new StringBuilder();
    int offset = 0;
    while (offset < text.length()) {
      final int end = Math.min(text.length(), offset + 1 + random.nextInt(30));
      forwarded.append(feed(framer, text.substring(offset, end)));
      offset = end;
    }
    assertEquals(text.toString(), forwarded.toString());
    assertTrue(framer.isAtEventBoundary());
  }
}
