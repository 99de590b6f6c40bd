package org.bulrushweir.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.bulrushweir.api.FindingCollector;
import org.bulrushweir.api.OrganisationId;
import org.bulrushweir.api.ServiceName;
import org.bulrushweir.catalog.CallerLimits;
import org.bulrushweir.catalog.RequestKind;
import org.bulrushweir.catalog.Route;
import org.bulrushweir.catalog.RoutingPlan;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the decoding of configurations. */
class RoutingPlanDecoderTest {

  private final RoutingPlanDecoder decoder = new RoutingPlanDecoder();
  private final FindingCollector findings = new FindingCollector();

  @Test
  void exampleIsDecodedWhole() {
    final RoutingPlan plan = decoder.decode(ExampleConfiguration.text(7), findings).orElseThrow();
    assertTrue(findings.isEmpty());
    assertEquals(7, plan.version());
    assertEquals(4, plan.routeCount());
    final Route draft = plan.route("chat.example", "/draft/1").orElseThrow();
    assertEquals(RequestKind.STREAM, draft.kind());
    assertTrue(draft.retryable());
    assertEquals(4_000, draft.timeoutMs());
    assertEquals(2, draft.maxAttempts());
    assertFalse(plan.route("orders.example", "/book/1").orElseThrow().retryable());
    assertEquals(
        new OrganisationId("warehouse"),
        plan.tenant("key-of-warehouse").orElseThrow().organisation());
    assertEquals(15_000, plan.limits().idleTimeoutMs());
  }

  @Test
  void routeThatCanNotBeReadIsLeftOutAndTheOthersHold() {
    final String text =
        ExampleConfiguration.text(7).replaceFirst("\"kind\": \"safe\"", "\"kind\": \"odd\"");
    final RoutingPlan plan = decoder.decode(text, findings).orElseThrow();
    assertEquals(3, plan.routeCount());
    assertEquals(
        "configuration.routes[3]: \"kind\" is none that is known",
        findings.findings().getFirst().toString());
  }

  /** Guards against a limit of many bytes that, cut to 32 bits, refuses all bodies. */
  @ParameterizedTest
  @ValueSource(strings = {"2147483648", "4294967296", "18446744073709551616", "1e300"})
  void numbersBeyondTheRangeOfAnIntStayLarge(final String number) {
    final String text =
        """
        {"version": 3,
         "routes": [{"host": "a.example", "prefix": "/", "kind": "safe", "timeout_ms": @,
           "max_attempts": @, "traffic_split": [{"service": "a", "weight": @}]}],
         "services": [{"name": "a", "max_connections": @}],
         "limits": {"max_header_bytes": @, "max_body_bytes": @, "idle_timeout_ms": @,
           "header_timeout_ms": "none"}}
        """;
    final RoutingPlan plan = decoder.decode(text.replace("@", number), findings).orElseThrow();
    assertEquals(
        new CallerLimits(
            Integer.MAX_VALUE,
            Integer.MAX_VALUE,
            CallerLimits.DEFAULT.headerTimeoutMs(),
            Integer.MAX_VALUE),
        plan.limits());
    assertEquals(
        Integer.MAX_VALUE, plan.service(new ServiceName("a")).orElseThrow().maxConnections());
    final Route route = plan.route("a.example", "/").orElseThrow();
    assertEquals(Integer.MAX_VALUE, route.maxAttempts());
    assertEquals(Integer.MAX_VALUE, route.timeoutMs());
    assertEquals(Integer.MAX_VALUE, route.services().getFirst().weight());
    assertEquals(1, findings.findings().size());
  }

  private RoutingPlan decodeTenants(final String tenants) {
    return decoder
        .decode("{\"version\": 3, \"routes\": []" + tenants + "}", findings)
        .orElseThrow();
  }

  /** Guards against routes that are open to everybody because no key can be read. */
  @Test
  void configurationWithTenantsRequiresKeysWhateverTheyHold() {
    for (final String tenants :
        List.of(
            "[{\"name\": \"a\", \"api_keys\": []}]",
            "[{\"name\": \"a\"}]",
            "[{\"name\": \"an invalid name\", \"api_keys\": [\"k\"]}]",
            "[7]",
            "[]",
            "{}",
            "null",
            "false")) {
      assertTrue(decodeTenants(", \"tenants\": " + tenants).requiresApiKeys(), tenants);
    }
    assertFalse(decodeTenants("").requiresApiKeys());
  }

  /** Guards against an empty key that opens all routes. */
  @Test
  void keyThatIsNoTextIsLeftOut() {
    final RoutingPlan plan =
        decodeTenants(
            ", \"tenants\": [{\"name\": \"a\","
                + " \"api_keys\": [{}, [], null, 7, \"\", \"k\"]}]");
    assertTrue(plan.tenant("k").isPresent());
    for (final String key : List.of("", "null", "7")) {
      assertTrue(plan.tenant(key).isEmpty(), key);
    }
    assertEquals(5, findings.findings().size());
  }

  /** Guards against a route that is open to everybody because of a flag that can't be read. */
  @Test
  void flagThatIsNoTruthValueIsNotSet() {
    for (final String flag : List.of("1", "\"true\"", "[]")) {
      final RoutingPlan plan =
          decoder
              .decode(
                  "{\"version\": 3, \"routes\": [{\"host\": \"h\", \"prefix\": \"/\","
                      + " \"kind\": \"safe\", \"service\": \"s\", \"public\": "
                      + flag
                      + "}]}",
                  findings)
              .orElseThrow();
      assertFalse(plan.route("h", "/").orElseThrow().open(), flag);
    }
  }

  @Test
  void textThatIsNoConfigurationIsRefused() {
    assertTrue(decoder.decode("{\"version\": 3}", findings).isEmpty());
    assertTrue(decoder.decode("{", findings).isEmpty());
    assertEquals(2, findings.findings().size());
  }
}
