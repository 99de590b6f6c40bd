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
import org.junit.jupiter.api.Test;

/** Tests that what the platform renders from the deployed template are valid settings. */
class GatewaySettingsTemplateTest {

  private static final Pattern SECTION = Pattern.compile("(?s)\\{\\{#(\\w+)}}(.*?)\\{\\{/\\1}}");
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

  /** Renders sections whose field is known, with the field's value in place of a dot. */
  private static String render(final String text, final Map<String, String> bounds) {
    final String sections =
        SECTION
            .matcher(text)
            .replaceAll(
                section -> {
                  final String field = section.group(1);
                  if (field.equals("bounds")) {
                    return Matcher.quoteReplacement(render(section.group(2), bounds));
                  }
                  return bounds.containsKey(field)
                      ? Matcher.quoteReplacement(
                          section.group(2).replace("{{.}}", bounds.get(field)))
                      : "";
                });
    return VALUE
        .matcher(sections)
        .replaceAll(value -> Matcher.quoteReplacement(VALUES.get(value.group(1))));
  }

  private static GatewaySettings load(final Map<String, String> bounds) throws IOException {
    final String template = Files.readString(Path.of("deploy/gateway.toml"));
    return GatewaySettingsLoader.load("gateway.toml", render(template, bounds));
  }

  @Test
  void evacuationsAreOffWithoutThePlatformsBound() throws IOException {
    assertEquals(OptionalLong.empty(), load(Map.of()).evacuationMs());
    assertEquals(OptionalLong.empty(), load(Map.of("cap_x", "1.5")).evacuationMs());
  }

  /** Guards against a table header that takes the keys of another table. */
  @Test
  void boundOfThePlatformSwitchesEvacuationsOn() throws IOException {
    final Map<String, String> bounds = new HashMap<>();
    bounds.put("evac_ms", "5000");
    assertEquals(OptionalLong.of(5_000), load(bounds).evacuationMs());
    bounds.put("cap_x", "1.5");
    bounds.put("grace_s", "8");
    assertEquals(OptionalLong.of(5_000), load(bounds).evacuationMs());
    assertEquals(1.5, load(bounds).selector().loadMultiple());
  }

  @Test
  void boundThatPollsCannotMeetIsReported() {
    assertThrows(InvalidInputException.class, () -> load(Map.of("evac_ms", "100")));
  }
}
