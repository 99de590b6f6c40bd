package org.bulrushweir.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.atomic.AtomicLong;
import org.bulrushweir.api.FindingCollector;
import org.bulrushweir.balancing.EndpointTracker;
import org.bulrushweir.catalog.ActivePlan;
import org.bulrushweir.catalog.EndpointDirectory;
import org.bulrushweir.demo.DemoCall;
import org.bulrushweir.platform.ExampleConfiguration;
import org.bulrushweir.platform.RoutingPlanDecoder;
import org.bulrushweir.relay.DrainPolicy;
import org.bulrushweir.relay.RequestHead;
import org.junit.jupiter.api.Test;

/** Tests which requests are served, and within which limits. */
class RequestAdmissionTest {

  private static final long NOW_MS = 1_000_000;
  private static final long GRACE_MS = 8_000;

  private final AtomicLong now = new AtomicLong(NOW_MS);
  private final ActivePlan plan = new ActivePlan();
  private final EndpointDirectory directory = new EndpointDirectory();
  private final RequestAdmission admission =
      new RequestAdmission(
          now::get,
          plan,
          GatewayCoreFixture.create(directory, new EndpointTracker(directory, service -> 0, 1))
              .planner(),
          new DrainPolicy(GRACE_MS));

  private void readPlan() {
    plan.adoptIfNewer(
        new RoutingPlanDecoder()
            .decode(ExampleConfiguration.text(1), new FindingCollector())
            .orElseThrow());
    plan.recordRead(1, NOW_MS);
  }

  private static RequestHead head(final String path, final Optional<String> key) {
    return new RequestHead(
        "request-1",
        DemoCall.ORDER_HOST,
        path,
        OptionalLong.of(700),
        key,
        List.of(),
        OptionalLong.empty(),
        Optional.empty());
  }

  private int rejectedWith(final RequestHead head) {
    return assertInstanceOf(
            RequestAdmission.Rejected.class,
            admission.decide(head, NOW_MS, OptionalLong.empty(), false))
        .status()
        .code();
  }

  @Test
  void deadlineRunsFromTheEarliestArrival() {
    readPlan();
    final RequestAdmission.Admitted admitted =
        assertInstanceOf(
            RequestAdmission.Admitted.class,
            admission.decide(
                head("/look/1", Optional.of(DemoCall.KEY)),
                NOW_MS - 900,
                OptionalLong.empty(),
                false));
    assertEquals(NOW_MS - 200, admitted.request().limits().deadlineMs());
  }

  @Test
  void requestIsRejectedForNowWithoutPlan() {
    assertEquals(503, rejectedWith(head("/look/1", Optional.of(DemoCall.KEY))));
  }

  @Test
  void unknownRoutesAndKeysAreRejectedForGood() {
    readPlan();
    assertEquals(404, rejectedWith(head("/unknown/1", Optional.of(DemoCall.KEY))));
    assertEquals(401, rejectedWith(head("/look/1", Optional.of("unknown"))));
  }

  @Test
  void processThatExitsTakesNoRequest() {
    readPlan();
    final RequestAdmission.Rejected rejected =
        assertInstanceOf(
            RequestAdmission.Rejected.class,
            admission.decide(
                head("/look/1", Optional.of(DemoCall.KEY)), NOW_MS, OptionalLong.of(0), true));
    assertEquals(503, rejected.status().code());
    assertTrue(rejected.retryAfterMs() > 0);
  }
}
