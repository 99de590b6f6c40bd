package org.bulrushweir.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.OutputStream;
import java.io.PrintStream;
import java.util.List;
import java.util.Locale;
import org.bulrushweir.api.FindingCollector;
import org.bulrushweir.catalog.CallerLimits;
import org.bulrushweir.catalog.RoutingPlan;
import org.bulrushweir.demo.DemoFleet;
import org.bulrushweir.logging.AsyncLogWriter;
import org.bulrushweir.platform.ExampleConfiguration;
import org.bulrushweir.platform.RoutingPlanDecoder;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests connections that are open while the limits for callers change or become known. */
class ChangedLimitsTest {

  private static final int USUAL_HEADER_BYTES = CallerLimits.DEFAULT.maxHeaderBytes();
  private static final int USUAL_BODY_BYTES = CallerLimits.DEFAULT.maxBodyBytes();
  private static final String OK_HEAD = "HTTP/1.1 200 OK\r\nX-Response-Seal: seal\r\n";

  private final AsyncLogWriter writer =
      new AsyncLogWriter(new PrintStream(OutputStream.nullOutputStream()), 10);
  private final RequestLog log = GatewayCoreFixture.requestLog(writer);

  @AfterEach
  void close() {
    writer.close();
  }

  private static RoutingPlan plan(final int version, final CallerLimits limits) {
    final String text =
        ExampleConfiguration.text(version)
            .replaceFirst(
                "\"limits\": *\\{[^}]*}",
                String.format(
                    "\"limits\": {\"max_header_bytes\": %d, \"max_body_bytes\": %d,"
                        + " \"header_timeout_ms\": %d, \"idle_timeout_ms\": %d}",
                    limits.maxHeaderBytes(),
                    limits.maxBodyBytes(),
                    limits.headerTimeoutMs(),
                    limits.idleTimeoutMs()));
    final RoutingPlan plan =
        new RoutingPlanDecoder().decode(text, new FindingCollector()).orElseThrow();
    assertEquals(limits, plan.limits());
    return plan;
  }

  private static RoutingPlan largePlan(final int version) {
    return plan(
        version, new CallerLimits(4 * USUAL_HEADER_BYTES, 2 * USUAL_BODY_BYTES, 3_000, 60_000));
  }

  private static RoutingPlan usualPlan(final int version) {
    return plan(version, CallerLimits.DEFAULT);
  }

  private static String request(final String id, final int headerBytes, final int bodyBytes) {
    return CutOffCall.UNSAFE
            .request(id)
            .replace(
                "Content-Length: 0\r\n",
                "X-Long: " + "a".repeat(headerBytes) + "\r\nContent-Length: " + bodyBytes + "\r\n")
        + "b".repeat(bodyBytes);
  }

  private static void answer(final EmbeddedGateway gateway, final EmbeddedGateway.Arrival arrival) {
    gateway.answer(
        arrival.endpoint(),
        OK_HEAD + "X-Request-Id: " + arrival.request().id() + "\r\nContent-Length: 2\r\n\r\nok");
  }

  /** Sends a request on the open connection and asserts that it is served. */
  private static void assertServed(final EmbeddedGateway gateway, final String request) {
    final int before = gateway.received().length();
    gateway.send(request);
    answer(gateway, gateway.nextRequest().orElseThrow());
    final String received = gateway.received().substring(before);
    assertTrue(received.startsWith("HTTP/1.1 200"), received);
  }

  private static void assertRefused(
      final EmbeddedGateway gateway, final String request, final int status) {
    final int before = gateway.received().length();
    gateway.send(request);
    final String received = gateway.received().substring(before);
    assertTrue(received.startsWith("HTTP/1.1 " + status), received);
    assertFalse(gateway.isCallerConnected());
  }

  /** Guards against a restarted gateway that denies what the configuration allows. */
  @Test
  void connectionFromBeforeTheFirstPlanGetsItsLimits() {
    for (final String request :
        List.of(
            request("long-head", 2 * USUAL_HEADER_BYTES, 0),
            request("long-body", 0, USUAL_BODY_BYTES + 1))) {
      try (EmbeddedGateway gateway = EmbeddedGateway.withoutPlan(log)) {
        gateway.addEndpoint(DemoFleet.ORDERS, false);
        gateway.openGate();
        gateway.send(CutOffCall.UNSAFE.request("first"));
        assertTrue(gateway.received().startsWith("HTTP/1.1 503"), gateway.received());
        gateway.adopt(largePlan(1));
        assertServed(gateway, request);
        assertServed(gateway, request.replace("long-", "next-"));
      }
    }
  }

  /** Guards against a final status for what the configuration, not read yet, may allow. */
  @Test
  void requestBeyondTheUsualLimitsIsRefusedForNowBeforeTheFirstPlan() {
    for (final String request :
        List.of(
            request("long-head", 2 * USUAL_HEADER_BYTES, 0),
            request("long-body", 0, USUAL_BODY_BYTES + 1))) {
      try (EmbeddedGateway gateway = EmbeddedGateway.withoutPlan(log)) {
        assertRefused(gateway, request, 503);
        assertTrue(
            gateway.received().toLowerCase(Locale.ROOT).contains("retry-after"),
            gateway.received());
      }
    }
  }

  /** Guards against a head that arrives while the plan is read and is denied by the old limit. */
  @Test
  void headThatBeganUnderAnotherLimitIsNotDenied() {
    final String request = request("long-head", 2 * USUAL_HEADER_BYTES, 0);
    try (EmbeddedGateway gateway = EmbeddedGateway.withoutPlan(log)) {
      gateway.addEndpoint(DemoFleet.ORDERS, false);
      gateway.openGate();
      gateway.send(request.substring(0, USUAL_HEADER_BYTES / 2));
      gateway.adopt(largePlan(1));
      assertRefused(gateway, request.substring(USUAL_HEADER_BYTES / 2), 503);
    }
  }

  /** Guards against limits that reach new connections only. */
  @Test
  void openConnectionFollowsChangesOfTheLimits() {
    try (EmbeddedGateway gateway = new EmbeddedGateway(log)) {
      gateway.addEndpoint(DemoFleet.ORDERS, false);
      assertServed(gateway, request("first", 10, 10));
      gateway.adopt(largePlan(2));
      assertServed(gateway, request("second", 2 * USUAL_HEADER_BYTES, USUAL_BODY_BYTES + 1));
      gateway.adopt(usualPlan(3));
      assertServed(gateway, request("third", 10, 10));
      assertRefused(gateway, request("fourth", 2 * USUAL_HEADER_BYTES, 0), 431);
    }
    try (EmbeddedGateway gateway = new EmbeddedGateway(log)) {
      gateway.addEndpoint(DemoFleet.ORDERS, false);
      gateway.adopt(largePlan(2));
      gateway.adopt(usualPlan(3));
      assertRefused(gateway, request("fifth", 10, USUAL_BODY_BYTES + 1), 413);
    }
  }

  /** Guards against a decoder that is replaced inside a request, whose rest is then lost. */
  @Test
  void changeInsideRequestLosesNothing() {
    final String request = request("split", 100, 100);
    for (int sent = 1; sent < request.length(); sent++) {
      try (EmbeddedGateway gateway = new EmbeddedGateway(log)) {
        gateway.addEndpoint(DemoFleet.ORDERS, false);
        gateway.send(request.substring(0, sent));
        gateway.adopt(largePlan(2));
        assertServed(gateway, request.substring(sent));
        assertServed(gateway, request("second", 2 * USUAL_HEADER_BYTES, 0));
      }
    }
  }
}
