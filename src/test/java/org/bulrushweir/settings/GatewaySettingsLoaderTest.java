package org.bulrushweir.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Optional;
import org.bulrushweir.api.InvalidInputException;
import org.bulrushweir.coldstart.ColdSettings;
import org.junit.jupiter.api.Test;

/** Tests the settings of the limit on what cold endpoints get. */
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
      [cold]
      """;

  private static Optional<ColdSettings> cold(final String lines) {
    return GatewaySettingsLoader.load("gateway.toml", SETTINGS + lines).cold();
  }

  @Test
  void limitIsOffUnlessStated() {
    assertEquals(Optional.empty(), cold(""));
    assertEquals(Optional.of(new ColdSettings(1.5, 5)), cold("overshoot = 1.5\nslack = 5\n"));
    assertEquals(Optional.of(new ColdSettings(1.5, 0)), cold("overshoot = 1.5\n"));
  }

  @Test
  void implausibleLimitIsRejected() {
    assertThrows(InvalidInputException.class, () -> cold("overshoot = 0.5\n"));
    assertThrows(InvalidInputException.class, () -> cold("slack = -1\n"));
  }
}
