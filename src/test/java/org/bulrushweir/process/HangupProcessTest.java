package org.bulrushweir.process;

import static org.junit.jupiter.api.Assertions.assertFalse;

import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests that SIGHUP, which tells that the settings file has changed, does not end a process. */
class HangupProcessTest {

  private static final long OBSERVED_MS = 2_000;

  @TempDir private Path directory;

  @Test
  void routerAndSidecarRunOnAfterHangup() throws Exception {
    try (Fleet fleet = new Fleet(directory)) {
      fleet.startService("orders-1", "orders");
      fleet.startRouter("router-1");
      fleet.process("orders-1").signal("HUP");
      fleet.process("router-1").signal("HUP");
      assertFalse(fleet.process("router-1").awaitEnd(OBSERVED_MS));
      assertFalse(fleet.process("orders-1").awaitEnd(1));
    }
  }
}
