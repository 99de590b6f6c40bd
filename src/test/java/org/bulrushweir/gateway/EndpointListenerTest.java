package org.bulrushweir.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Optional;
import org.bulrushweir.catalog.EndpointDirectory;
import org.bulrushweir.store.RowChange;
import org.junit.jupiter.api.Test;

/** Tests which changes of registrations may be followed by a longer delay. */
class EndpointListenerTest {

  private final EndpointListener listener =
      new EndpointListener(new EndpointDirectory(), () -> 1_000);

  private static String registration(final int slots, final int sequence, final String more) {
    return "{\"service\":\"chat\",\"address\":\"127.0.0.1:80\",\"zone\":\"zone-1\",\"slots\":"
        + slots
        + ",\"state\":\"ready\",\"born\":1,\"sequence\":"
        + sequence
        + more
        + "}";
  }

  private boolean isMinor(final String value) {
    listener.onChanges(List.of(new RowChange("e-1", Optional.ofNullable(value), 1)));
    return listener.areLastChangesMinor();
  }

  /** Guards against a delay of the news that an endpoint has come, gone, restarted or is cold. */
  @Test
  void onlyChangesOfUsableEndpointsAreMinor() {
    assertEquals(false, isMinor(registration(8, 1, "")), "new");
    assertEquals(true, isMinor(registration(9, 1, "")), "other slots");
    assertEquals(false, isMinor(registration(9, 1, ",\"cold_remaining_ms\":900")), "cold");
    assertEquals(false, isMinor(registration(9, 2, "").replace("ready", "draining")), "draining");
    assertEquals(false, isMinor(registration(9, 2, "").replace("ready", "draining")), "as before");
    assertEquals(false, isMinor(null), "removed");
    assertEquals(false, isMinor("not a registration"), "unreadable");
  }
}
