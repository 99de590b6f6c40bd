package org.bulrushweir.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests what responses with and without ids are taken for. */
class ResponseMatchTest {

  private static ResponseMatch match(final boolean reused, final String... named) {
    return ResponseMatch.of(List.of(named), "own", reused);
  }

  @Test
  void responseThatNamesItsRequestIsItsOwn() {
    assertEquals(ResponseMatch.OWN, match(false, "own"));
    assertEquals(ResponseMatch.OWN, match(true, "own"));
  }

  @Test
  void responseThatNamesAnotherRequestIsForeign() {
    assertEquals(ResponseMatch.FOREIGN, match(false, "other"));
    assertEquals(ResponseMatch.FOREIGN, match(true, "other", "third"));
  }

  @Test
  void responseThatNamesNoRequestIsOnlyTrustedOnFreshConnections() {
    assertEquals(ResponseMatch.OWN_UNNAMED, match(false));
    assertEquals(ResponseMatch.AMBIGUOUS, match(true));
  }

  @Test
  void responseThatNamesSeveralRequestsIsAmbiguous() {
    assertEquals(ResponseMatch.AMBIGUOUS, match(false, "own", "other"));
  }
}
