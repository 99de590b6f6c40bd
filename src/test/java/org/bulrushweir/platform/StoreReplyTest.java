package org.bulrushweir.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.bulrushweir.store.PlatformException;
import org.junit.jupiter.api.Test;

/** Tests what is read from answers of the store. */
class StoreReplyTest {

  private static StoreReply reply(final int status, final String body) {
    return new StoreReply(status, body, 1);
  }

  @Test
  void onlyRefusalsProveThatNothingWasDone() {
    for (final int status : List.of(429, 503)) {
      assertFalse(
          assertThrows(PlatformException.class, reply(status, "")::requireOk).effectPossible());
    }
    for (final int status : List.of(403, 404, 412, 500)) {
      assertTrue(
          assertThrows(PlatformException.class, reply(status, "")::requireOk).effectPossible());
    }
  }

  @Test
  void bodyThatIsNoJsonFails() {
    assertThrows(PlatformException.class, reply(200, "{\"rows\":[")::rows);
    assertEquals(7, reply(200, "{\"rows\":[],\"ver\":7}").rows().version());
  }
}
