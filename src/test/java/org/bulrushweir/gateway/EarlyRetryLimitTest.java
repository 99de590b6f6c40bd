package org.bulrushweir.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.bulrushweir.api.EndpointId;
import org.bulrushweir.api.FindingCollector;
import org.bulrushweir.api.NodeId;
import org.bulrushweir.api.ZoneName;
import org.bulrushweir.balancing.EndpointSelector;
import org.bulrushweir.balancing.EndpointTracker;
import org.bulrushweir.balancing.SelectorSettings;
import org.bulrushweir.catalog.ActivePlan;
import org.bulrushweir.catalog.EndpointDirectory;
import org.bulrushweir.catalog.EndpointRecord;
import org.bulrushweir.demo.DemoCall;
import org.bulrushweir.platform.ExampleConfiguration;
import org.bulrushweir.platform.RoutingPlanDecoder;
import org.bulrushweir.quarantine.PromptQuarantine;
import org.bulrushweir.relay.DrainPolicy;
import org.bulrushweir.relay.RequestHead;
import org.junit.jupiter.api.Test;

/** Tests that measured times of calls decide when a retryable call is sent elsewhere. */
class EarlyRetryLimitTest {

  private static final long NOW_MS = 1_000_000;
  private static final EndpointId ENDPOINT = new EndpointId("lookups-1");
  private static final ZoneName ZONE = new ZoneName("zone-1");

  private final EndpointDirectory directory = new EndpointDirectory();
  private final EndpointTracker tracker = new EndpointTracker(directory, service -> 0, 1);

  private RoutedRequest admitted(final boolean statedLoad) {
    final ActivePlan plan = new ActivePlan();
    plan.adoptIfNewer(
        new RoutingPlanDecoder()
            .decode(ExampleConfiguration.text(1), new FindingCollector())
            .orElseThrow());
    plan.recordRead(1, NOW_MS);
    final AttemptPlanner planner =
        new AttemptPlanner(
            directory,
            tracker,
            new EndpointSelector(tracker, ZONE, new SelectorSettings(2, 1, statedLoad)),
            null,
            null,
            new PromptQuarantine(),
            new ColdStartMonitor(
                    new NodeId("gateway-1"), Optional.empty(), new ActivePlan(), () -> 0)
                .budget());
    final RequestHead head =
        new RequestHead(
            "request-1",
            DemoCall.ORDER_HOST,
            "/look/1",
            OptionalLong.empty(),
            Optional.of(DemoCall.KEY),
            List.of(),
            OptionalLong.empty(),
            Optional.empty());
    return assertInstanceOf(
            RequestAdmission.Admitted.class,
            new RequestAdmission(() -> NOW_MS, plan, planner, new DrainPolicy(8_000))
                .decide(head, NOW_MS, OptionalLong.empty(), false))
        .request();
  }

  /** Without the setting, requests are served as before, whatever was measured. */
  @Test
  void measuredTimesSetTheLimitOnlyWithTheSetting() {
    final RoutedRequest request = admitted(true);
    assertEquals(Long.MAX_VALUE, request.limits().earlyRetryMs());
    directory.put(
        new EndpointRecord(ENDPOINT, request.service(), "127.0.0.1", 9, ZONE, 2, false, 1));
    final long targetMs = request.route().latencyTargetMs();
    for (int number = 0; number < 60; number++) {
      final long ms = number % 20 == 0 ? 10 * targetMs : targetMs / 5;
      tracker.observations().recordCall(ENDPOINT, 1, ms, true, NOW_MS);
    }
    final long earlyMs = admitted(true).limits().earlyRetryMs();
    assertTrue(earlyMs > targetMs / 5 && earlyMs < targetMs, "early after " + earlyMs);
    assertEquals(Long.MAX_VALUE, admitted(false).limits().earlyRetryMs());
  }
}
