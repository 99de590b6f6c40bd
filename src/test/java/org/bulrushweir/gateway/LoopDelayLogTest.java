package org.bulrushweir.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.bulrushweir.testing.RecordedLog;
import org.junit.jupiter.api.Test;

/** Tests which delays of the event loop are counted and logged. */
class LoopDelayLogTest {

  private final GatewayMetrics metrics = new GatewayMetrics();
  private final LoopDelayLog delays = new LoopDelayLog(metrics);

  @Test
  void onlyLongDelaysAreCountedAndLogged() {
    try (RecordedLog log = new RecordedLog(LoopDelayLog.class)) {
      delays.record(250);
      delays.record(251);
      assertEquals(
          List.of("the event loop was held up: callers' bytes may have waited unread for 251 ms"),
          log.messages());
    }
    assertTrue(
        new String(metrics.text(), StandardCharsets.UTF_8)
            .contains("bulrushweir_gateway_loop_delay_seconds_count 1"));
  }
}
