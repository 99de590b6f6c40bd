package org.bulrushweir.gateway;

import static org.junit.jupiter.api.Assertions.assertAll;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.stream.IntStream;
import org.bulrushweir.api.NodeId;
import org.bulrushweir.api.OrganisationId;
import org.bulrushweir.api.ServiceName;
import org.bulrushweir.balancing.ServiceRoom;
import org.bulrushweir.dispatch.DispatchPolicy;
import org.bulrushweir.dispatch.DispatchRequest;
import org.bulrushweir.dispatch.DispatchSettings;
import org.bulrushweir.dispatch.ServiceDispatcher;
import org.bulrushweir.dispatch.ServiceLoad;
import org.bulrushweir.wire.generated.OrganisationWork;
import org.bulrushweir.wire.generated.RouterReport;
import org.bulrushweir.wire.generated.ServiceDemand;
import org.junit.jupiter.api.Test;

/** Tests the reports on waiting requests. */
class DemandSectionTest {

  private static final long NOW_MS = 1_000_000;
  private static final ServiceName SERVICE = new ServiceName("orders");
  private static final NodeId PEER = new NodeId("gateway-2");
  private static final ServiceLoad FULL = new ServiceLoad(new ServiceRoom(1, 2, 3), 3, 1, 0);

  private final Map<ServiceName, ServiceDispatcher> services = new HashMap<>();
  private final DemandSection section = new DemandSection(services);

  private static ServiceDispatcher dispatcher() {
    return new ServiceDispatcher(new DispatchPolicy(new DispatchSettings(true, 1.5), () -> 0));
  }

  /** Guards against ranks that get lost on the way. */
  @Test
  void waitingRequestsAreReportedByRank() {
    final ServiceDispatcher dispatcher = dispatcher();
    services.put(SERVICE, dispatcher);
    for (int number = 0; number < 3; number++) {
      dispatcher.offer(
          new DispatchRequest(number, 2, Optional.empty(), NOW_MS, NOW_MS, 100, NOW_MS + 1_000, 60),
          FULL,
          NOW_MS);
    }
    final RouterReport.Builder report = RouterReport.newBuilder();
    section.write(report, NOW_MS);
    assertEquals("[0, 0, 3]", report.getDemands(0).getWaitingList().toString());
  }

  /** Guards against reports of other versions and broken ones, which must be harmless. */
  @Test
  void unusableReportsAreHarmless() {
    services.put(SERVICE, dispatcher());
    final ServiceDemand.Builder large = ServiceDemand.newBuilder().setService(SERVICE.value());
    IntStream.range(0, 1_000)
        .forEach(
            number ->
                large
                    .addWaiting(-1)
                    .addOrganisations(
                        OrganisationWork.newBuilder()
                            .setOrganisation(number == 0 ? "not a name" : "org-" + number)
                            .setWork(-number)));
    final RouterReport report =
        RouterReport.newBuilder()
            .addDemands(ServiceDemand.newBuilder().setService("not a name"))
            .addDemands(ServiceDemand.newBuilder().setService("unknown"))
            .addDemands(large)
            .build();
    section.read(PEER, RouterReport.getDefaultInstance(), NOW_MS);
    section.read(PEER, report, NOW_MS);
    final ServiceDispatcher dispatcher = services.get(SERVICE);
    dispatcher.offer(
        new DispatchRequest(
            1,
            3,
            Optional.of(new OrganisationId("org-1")),
            NOW_MS,
            NOW_MS,
            100,
            NOW_MS + 1_000,
            60),
        FULL,
        NOW_MS);
    assertAll(
        () -> assertEquals(2, dispatcher.gateways(NOW_MS)),
        () -> assertEquals(1, dispatcher.waiting()),
        () -> assertEquals(1, dispatcher.gateways(NOW_MS + 2_000), "silent for some time"));
  }
}
