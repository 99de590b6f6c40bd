package org.bulrushweir.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.bulrushweir.api.FindingCollector;
import org.bulrushweir.api.OrganisationId;
import org.bulrushweir.catalog.RequestKind;
import org.bulrushweir.catalog.Route;
import org.bulrushweir.catalog.RoutingPlan;
import org.junit.jupiter.api.Test;

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
