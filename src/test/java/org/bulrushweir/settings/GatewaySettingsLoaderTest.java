package org.bulrushweir.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import org.bulrushweir.api.InvalidInputException;
import org.bulrushweir.coldstart.ColdSettings;
import org.junit.jupiter.api.Test;

/** Tests the reading of a gateway's settings. */
class GatewaySettingsLoaderTest {

  private static final String SETTINGS =
      """
      node = "gateway-1"
      availability_zone = "zone-1"
      [listen]
      callers = "127.0.0.1:1"
      readiness = "127.0.0.1:2"
      metrics = "127.0.0.1:3"
      peers = "127.0.0.1:4"
      [platform]
      url = "http://127.0.0.1:5"
      """;

  /** Loads settings with further lines, which may continue the table of the platform. */
  private static GatewaySettings load(final String lines) {
    return GatewaySettingsLoader.load("gateway.toml", SETTINGS + lines);
  }

  private static Optional<ColdSettings> cold(final String lines) {
    return load("[cold]\n" + lines).cold();
  }

  @Test
  void limitOnColdEndpointsIsOffUnlessStated() {
    assertEquals(Optional.empty(), cold(""));
    assertEquals(Optional.of(new ColdSettings(1.5, 5)), cold("overshoot = 1.5\nslack = 5\n"));
    assertEquals(Optional.of(new ColdSettings(1.5, 0)), cold("overshoot = 1.5\n"));
  }

  @Test
  void implausibleLimitOnColdEndpointsIsRejected() {
    assertThrows(InvalidInputException.class, () -> cold("overshoot = 0.5\n"));
    assertThrows(InvalidInputException.class, () -> cold("slack = -1\n"));
  }

  /** Guards against gateways that share their readings without being told to. */
  @Test
  void readingsAreSharedOnlyIfTheSettingsSaySo() {
    assertFalse(load("").sharedReading());
    assertTrue(load("shared_reading = true").sharedReading());
    assertThrows(InvalidInputException.class, () -> load("shared_reading = \"yes\""));
  }

  @Test
  void deployedGatewaysShareTheirReadings() throws IOException {
    final String deployed = Files.readString(Path.of("deploy/gateway.toml"));
    assertTrue(deployed.contains("\nshared_reading = true\n"), deployed);
  }
}
