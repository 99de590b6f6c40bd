package org.bulrushweir.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Tests the order of the ids of events. */
class EventIdTest {

  private static EventId id(final String text) {
    return EventId.parse(text).orElseThrow();
  }

  /** Guards against numbers that are rounded or out of the range of a type. */
  @Test
  void wholeNumbersAreComparedByTheirValues() {
    final List<String> ascending =
        List.of("0", "09", "10", "9007199254740992", "9007199254740993", "9223372036854775808");
    for (int index = 1; index < ascending.size(); index++) {
      final EventId earlier = id(ascending.get(index - 1));
      final EventId later = id(ascending.get(index));
      assertTrue(later.mayFollow(earlier), later.text());
      assertFalse(earlier.mayFollow(later), later.text());
    }
    assertFalse(id("007").mayFollow(id("7")));
  }

  @Test
  void otherIdsMayFollowAllButThemselves() {
    assertTrue(id("a").mayFollow(id("b")));
    assertTrue(id("b").mayFollow(id("a")));
    assertTrue(id("1.5").mayFollow(id("2")));
    assertFalse(id("a").mayFollow(id("a")));
  }

  @Test
  void idThatNoHeaderCanCarryIsNone() {
    assertEquals(Optional.empty(), EventId.parse(" "));
    assertEquals(Optional.empty(), EventId.parse("a\rb"));
    assertEquals(Optional.empty(), EventId.parse("a\0"));
    assertEquals("a\tb", id(" a\tb ").text());
  }
}
