package org.bulrushweir.process;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests what a gateway that receives SIGTERM writes to its log. */
class GatewayStopProcessTest {

  private static final long END_TIMEOUT_MS = 20_000;

  @TempDir private Path directory;

  private Path settings() throws Exception {
    return Files.writeString(
        directory.resolve("gateway.toml"),
        """
        node = "gateway-1"
        availability_zone = "zone-1"
        grace_ms = 2000
        [listen]
        callers = "127.0.0.1:%d"
        readiness = "127.0.0.1:%d"
        metrics = "127.0.0.1:%d"
        peers = "127.0.0.1:%d"
        [platform]
        url = "http://127.0.0.1:%d"
        """
            .formatted(
                FreePort.find(),
                FreePort.find(),
                FreePort.find(),
                FreePort.find(),
                FreePort.find()));
  }

  @Test
  void lastLineOfTheStopIsWritten() throws Exception {
    try (BinaryProcess gateway =
        BinaryProcess.start(
            directory.resolve("gateway.log"), "gateway", "--settings", settings().toString())) {
      gateway.awaitPort();
      gateway.signal("TERM");
      assertTrue(gateway.awaitEnd(END_TIMEOUT_MS));
      Waiting.until(() -> gateway.outputText().contains("requests cut off"));
    }
  }
}
