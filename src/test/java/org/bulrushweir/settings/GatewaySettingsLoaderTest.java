package org.bulrushweir.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.bulrushweir.api.InvalidInputException;
import org.junit.jupiter.api.Test;

/** Tests the reading of a gateway's settings. */
class GatewaySettingsLoaderTest {

  private static GatewaySettings load(final String platform) {
    return GatewaySettingsLoader.load(
        "test",
        """
        node = "g1"
        availability_zone = "zone-1"
        [listen]
        callers = "127.0.0.1:1"
        readiness = "127.0.0.1:2"
        metrics = "127.0.0.1:3"
        peers = "127.0.0.1:4"
        [platform]
        url = "http://127.0.0.1:5"
        """
            + platform);
  }

  /** Guards against gateways that share their readings without being told to. */
  @Test
  void readingsAreSharedOnlyIfTheSettingsSaySo() {
    assertEquals(false, load("").sharedReading());
    assertEquals(true, load("shared_reading = true").sharedReading());
    assertThrows(InvalidInputException.class, () -> load("shared_reading = \"yes\""));
  }

  @Test
  void deployedGatewaysShareTheirReadings() throws IOException {
    final String deployed = Files.readString(Path.of("deploy/gateway.toml"));
    assertTrue(deployed.contains("\nshared_reading = true\n"), deployed);
  }
}
