package org.bulrushweir.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.bulrushweir.api.InvalidInputException;
import org.bulrushweir.balancing.RetryBudgetSettings;
import org.junit.jupiter.api.Test;

/** Tests that what the platform renders from the deployed template are the intended settings. */
class GatewaySettingsTemplateTest {

  private static final Pattern SECTION = Pattern.compile("(?s)\\{\\{#([\\w.]+)}}(.*?)\\{\\{/\\1}}");
  private static final Pattern VALUE = Pattern.compile("\\{\\{([\\w.]+)}}");
  private static final Map<String, String> VALUES =
      Map.of(
          "node_name", "gateway-1",
          "zone", "z0",
          "bootstrap", "false",
          "listen.front", "127.0.0.1:1",
          "listen.ready_address", "127.0.0.1:2",
          "ip", "127.0.0.1",
          "internal_ports.0", "3",
          "platform.address", "127.0.0.1:4");

  /**
   * Renders a template as the platform does: a section of a value is rendered once if the value is
   * present, and one of a table once for each of its entries, whose own names count inside.
   */
  private static String render(final String text, final Map<String, String> values) {
    final String sections =
        SECTION
            .matcher(text)
            .replaceAll(
                section -> {
                  final String value = values.get(section.group(1));
                  return value == null
                      ? ""
                      : Matcher.quoteReplacement(section.group(2).replace("{{.}}", value));
                });
    return VALUE
        .matcher(sections)
        .replaceAll(value -> Matcher.quoteReplacement(values.getOrDefault(value.group(1), "")));
  }

  private static GatewaySettings load(final Map<String, String> bounds) throws IOException {
    final Map<String, String> values = new HashMap<>(VALUES);
    bounds.forEach((name, value) -> values.put("bounds." + name, value));
    final String template = Files.readString(Path.of("deploy/gateway.toml"));
    return GatewaySettingsLoader.load("gateway.toml", render(template, values));
  }

  /** Guards against bounds of the platform that do not reach the settings. */
  @Test
  void boundsOfThePlatformAreRendered() throws IOException {
    final GatewaySettings settings =
        load(
            Map.of(
                "grace_s", "9",
                "retry_budget_ratio", "0.25",
                "budget_slack", "96",
                "budget_window_s", "12",
                "cap_x", "3"));
    assertEquals(9_000, settings.graceMs());
    assertEquals(new RetryBudgetSettings(0.25, 96, 12_000), settings.retryBudget());
    assertEquals(3, settings.selector().loadMultiple());
  }

  /** Guards against a template that is no valid TOML where somebody fills in less of it. */
  @Test
  void placeholdersThatNobodyFillsInCountAsAbsent() throws IOException {
    final String template = Files.readString(Path.of("deploy/gateway.toml"));
    String text = template;
    for (final Map.Entry<String, String> value : VALUES.entrySet()) {
      text = text.replace("{{" + value.getKey() + "}}", value.getValue());
    }
    final GatewaySettings settings = GatewaySettingsLoader.load("gateway.toml", text);
    assertEquals(8_000, settings.graceMs());
    assertEquals(OptionalLong.empty(), settings.evacuationMs());
  }

  @Test
  void missingBoundsLeaveTheDefaults() throws IOException {
    assertEquals(8_000, load(Map.of()).graceMs());
    assertEquals(2, load(Map.of()).selector().loadMultiple());
  }

  @Test
  void evacuationsAreOffWithoutThePlatformsBound() throws IOException {
    assertEquals(OptionalLong.empty(), load(Map.of()).evacuationMs());
    assertEquals(OptionalLong.empty(), load(Map.of("cap_x", "1.5")).evacuationMs());
  }

  /** Guards against a table header that takes the keys of another table. */
  @Test
  void boundOfThePlatformSwitchesEvacuationsOn() throws IOException {
    assertEquals(OptionalLong.of(5_000), load(Map.of("evac_ms", "5000")).evacuationMs());
    final GatewaySettings settings =
        load(Map.of("evac_ms", "5000", "cap_x", "1.5", "grace_s", "8"));
    assertEquals(OptionalLong.of(5_000), settings.evacuationMs());
    assertEquals(1.5, settings.selector().loadMultiple());
  }

  @Test
  void boundThatPollsCannotMeetIsReported() {
    assertThrows(InvalidInputException.class, () -> load(Map.of("evac_ms", "100")));
  }
}
