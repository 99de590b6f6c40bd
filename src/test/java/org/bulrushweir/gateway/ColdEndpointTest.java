package org.bulrushweir.gateway;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.OutputStream;
import java.io.PrintStream;
import java.util.Locale;
import java.util.OptionalInt;
import org.bulrushweir.api.EndpointId;
import org.bulrushweir.api.NodeId;
import org.bulrushweir.balancing.EndpointFilter;
import org.bulrushweir.catalog.EndpointRecord;
import org.bulrushweir.coldstart.ColdBudget;
import org.bulrushweir.coldstart.ColdEndpoints;
import org.bulrushweir.coldstart.GatewayView;
import org.bulrushweir.logging.AsyncLogWriter;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests a gateway whose endpoints become cold while it has no share of their budgets. */
class ColdEndpointTest {

  private static final long COLD_MS = 60_000;

  private final ColdEndpoints endpoints = new ColdEndpoints();
  private final ColdBudget budget =
      new ColdBudget(
          endpoints, new GatewayView(new NodeId("gateway-1")), service -> OptionalInt.of(27));
  private final RequestLog log =
      GatewayCoreFixture.requestLog(
          new AsyncLogWriter(new PrintStream(OutputStream.nullOutputStream()), 10));

  private void makeCold(final EndpointRecord warm, final long nowMs) {
    endpoints.observe(
        new EndpointRecord(
            warm.id(),
            warm.service(),
            warm.host(),
            warm.port(),
            warm.zone(),
            warm.slots(),
            false,
            warm.startedAtMs(),
            COLD_MS),
        1,
        nowMs);
  }

  /** Makes an endpoint cold when the candidates are listed for the second time. */
  private final class AfterSelection implements EndpointFilter {
    private final EndpointId id;
    private int calls;

    AfterSelection(final String id) {
      this.id = new EndpointId(id);
    }

    @Override
    public boolean accepts(final EndpointRecord endpoint, final long nowMs) {
      if (endpoint.id().equals(id) && ++calls == 2) {
        makeCold(endpoint, nowMs);
      }
      return true;
    }
  }

  /** Guards against a request that is sent although its endpoint has become cold meanwhile. */
  @ParameterizedTest
  @ValueSource(strings = {"endpoint-1", "endpoint-2"})
  void endpointThatBecomesColdAfterItsSelectionGetsNoRequest(final String id) {
    try (EmbeddedGateway gateway = new EmbeddedGateway(log, new AfterSelection(id), budget)) {
      gateway.addEndpoint(CutOffCall.UNSAFE.service(), false);
      gateway.addEndpoint(CutOffCall.UNSAFE.service(), false);
      gateway.send(CutOffCall.UNSAFE.request("r1"));
      final String request = gateway.nextRequest().orElseThrow().request().text();
      assertTrue(!request.contains(id), request);
    }
  }

  @Test
  void requestIsRefusedAtOnceIfAllEndpointsAreCold() {
    try (EmbeddedGateway gateway =
        new EmbeddedGateway(log, new AfterSelection("endpoint-1"), budget)) {
      gateway.addEndpoint(CutOffCall.UNSAFE.service(), false);
      gateway.send(CutOffCall.UNSAFE.request("r1"));
      assertTrue(gateway.nextRequest().isEmpty(), "the cold endpoint must get no request");
      final String received = gateway.received();
      assertTrue(received.startsWith("HTTP/1.1 503 "), received);
      assertTrue(received.toLowerCase(Locale.ROOT).contains("retry-after: "), received);
    }
  }
}
