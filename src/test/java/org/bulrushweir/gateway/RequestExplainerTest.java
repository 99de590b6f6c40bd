package org.bulrushweir.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.handler.codec.http.QueryStringDecoder;
import java.io.OutputStream;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.bulrushweir.api.EndpointId;
import org.bulrushweir.api.FindingCollector;
import org.bulrushweir.api.NodeId;
import org.bulrushweir.api.OrganisationId;
import org.bulrushweir.api.ZoneName;
import org.bulrushweir.balancing.EndpointTracker;
import org.bulrushweir.balancing.PromptSegment;
import org.bulrushweir.catalog.ActivePlan;
import org.bulrushweir.catalog.EndpointDirectory;
import org.bulrushweir.catalog.EndpointRecord;
import org.bulrushweir.catalog.EvacuatedZones;
import org.bulrushweir.coldstart.ColdBudget;
import org.bulrushweir.demo.DemoCall;
import org.bulrushweir.demo.DemoFleet;
import org.bulrushweir.dispatch.DispatchSettings;
import org.bulrushweir.logging.AsyncLogWriter;
import org.bulrushweir.platform.ExampleConfiguration;
import org.bulrushweir.platform.RoutingPlanDecoder;
import org.bulrushweir.relay.PollMonitor;
import org.bulrushweir.relay.RequestHead;
import org.bulrushweir.store.SharedTable;
import org.junit.jupiter.api.Test;

/** Tests that an explanation leaves a gateway as it was. */
class RequestExplainerTest {

  private static final long NOW_MS = 1_000_000;
  private static final String QUERY =
      "/explain?host=chat.example&path=/draft/1&organisation=dispatch&prompt=1:2000,2:300";

  private final EndpointDirectory directory = new EndpointDirectory();
  private final EndpointTracker tracker = new EndpointTracker(directory, service -> 400_000, 69.8);
  private final ActivePlan plan = new ActivePlan();
  private final StartGate gate = new StartGate(EnumSet.of(SharedTable.ENDPOINTS));
  private final DispatchGate dispatch =
      GatewayCoreFixture.dispatchGate(new DispatchSettings(true, 1.5), () -> NOW_MS, null, tracker);
  private final ColdBudget budget =
      new ColdStartMonitor(new NodeId("gateway-1"), Optional.empty(), plan, () -> NOW_MS).budget();
  private final GatewayCore core =
      GatewayCoreFixture.create(
          directory,
          tracker,
          () -> NOW_MS,
          gate,
          plan,
          null,
          null,
          new PollMonitor(NOW_MS),
          dispatch,
          GatewayCoreFixture.requestLog(
              new AsyncLogWriter(new PrintStream(OutputStream.nullOutputStream()), 10)));
  private final RequestExplainer explainer =
      new RequestExplainer(
          () -> NOW_MS,
          plan,
          core,
          dispatch,
          new EndpointExplainer(
              directory, core.planner(), new EvacuatedZones(0), budget, nowMs -> 0));

  private void start() {
    GatewayCoreFixture.open(gate, directory);
    plan.adoptIfNewer(
        new RoutingPlanDecoder()
            .decode(ExampleConfiguration.text(1), new FindingCollector())
            .orElseThrow());
    plan.recordRead(1, NOW_MS);
    for (int number = 1; number <= 3; number++) {
      directory.put(
          new EndpointRecord(
              new EndpointId("engine-" + number),
              DemoFleet.ASSISTANT,
              "127.0.0.1",
              80,
              new ZoneName("zone-1"),
              8,
              false,
              1));
    }
  }

  private RequestExplainer.Answer explain() {
    return explainer.explain(new QueryStringDecoder(QUERY));
  }

  /** Returns all that a request would change, and uses up the retry budget. */
  private List<Object> state() {
    final RequestHead head =
        new RequestHead(
            "request-1",
            DemoCall.CHAT_HOST,
            "/draft/1",
            OptionalLong.empty(),
            Optional.of(DemoCall.KEY),
            List.of(new PromptSegment(1, 2_000), new PromptSegment(2, 300)),
            OptionalLong.empty(),
            Optional.empty());
    final RoutedRequest routed =
        ((RequestAdmission.Admitted)
                core.preview(head, Optional.of(new OrganisationId("dispatch"))))
            .request();
    int retries = 0;
    while (core.planner().tryRetry(routed, NOW_MS)) {
      retries++;
    }
    assertTrue(retries > 0, "the budget must allow retries");
    final List<Object> state = new ArrayList<>();
    state.add(retries);
    state.add(tracker.ownLoads());
    state.add(tracker.drainPlacements());
    state.add(tracker.isReportUrgent());
    state.add(dispatch.waiting());
    state.add(dispatch.services().keySet());
    state.add(core.inFlight());
    state.add(budget.keptAway());
    return state;
  }

  /** Guards against a placement, a queue entry or a retry that an explanation leaves behind. */
  @Test
  void stateIsThatOfGatewayThatWasNotAsked() {
    start();
    for (int number = 0; number < 5; number++) {
      assertEquals(200, explain().status().code(), () -> explain().json());
    }
    final RequestExplainerTest notAsked = new RequestExplainerTest();
    notAsked.start();
    assertEquals(notAsked.state(), state());
  }

  /** Guards against an explanation from tables that have not been read. */
  @Test
  void gatewayThatStartsExplainsNothing() {
    assertEquals(503, explain().status().code());
  }
}
