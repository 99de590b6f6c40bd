package org.bulrushweir.dispatch;

import static org.junit.jupiter.api.Assertions.assertAll;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.bulrushweir.api.InvalidInputException;
import org.bulrushweir.settings.GatewaySettingsLoader;
import org.junit.jupiter.api.Test;

/** Tests the settings of queueing. */
class DispatchSettingsTest {

  private static final String SETTINGS =
      """
      node = "gateway-1"
      availability_zone = "zone-1"
      [listen]
      callers = "127.0.0.1:0"
      readiness = "127.0.0.1:0"
      metrics = "127.0.0.1:0"
      peers = "127.0.0.1:0"
      [platform]
      url = "http://127.0.0.1:1"
      """;

  private static DispatchSettings load(final String more) {
    return GatewaySettingsLoader.load("test", SETTINGS + more).dispatch();
  }

  /** Guards against a deployment without the setting that queues, and against wild multiples. */
  @Test
  void queueIsOffUnlessSettingsTurnItOn() {
    assertAll(
        () -> assertEquals(new DispatchSettings(false, 1.5), load("")),
        () ->
            assertEquals(
                new DispatchSettings(true, 10),
                load("[dispatch]\nqueue = true\nslot_multiple = 10")),
        () ->
            assertThrows(
                InvalidInputException.class, () -> load("[dispatch]\nslot_multiple = 0.9")));
  }

  /** Guards against a part of the deployed settings that can't be read. */
  @Test
  void deployedSettingsTurnItOn() throws IOException {
    final String deployed = Files.readString(Path.of("deploy/gateway.toml"));
    assertEquals(true, load(deployed.substring(deployed.indexOf("[dispatch]"))).queue());
  }
}
