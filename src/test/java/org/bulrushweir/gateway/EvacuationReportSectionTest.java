package org.bulrushweir.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import org.bulrushweir.api.NodeId;
import org.bulrushweir.api.ZoneName;
import org.bulrushweir.balancing.EndpointTracker;
import org.bulrushweir.catalog.EndpointDirectory;
import org.bulrushweir.catalog.EvacuatedZones;
import org.bulrushweir.store.RowChange;
import org.bulrushweir.wire.generated.RouterReport;
import org.junit.jupiter.api.Test;

/** Tests what gateways tell each other on evacuated zones, also while one has lost the store. */
class EvacuationReportSectionTest {

  private static final NodeId PEER = new NodeId("gateway-2");
  private static final ZoneName ZONE = new ZoneName("z0");

  private final AtomicLong now = new AtomicLong(100_000);

  /** One gateway's evacuated zones with what changes them. */
  private final class Side {
    private final EvacuatedZones zones = new EvacuatedZones(5_000);
    private final EndpointDirectory directory = new EndpointDirectory();
    private final EvacuationMonitor monitor =
        new EvacuationMonitor(
            zones, directory, new EndpointTracker(directory, service -> 0, 1), now::get);
    private final EvacuationListener listener = new EvacuationListener(zones, monitor, now::get);
    private final EvacuationReportSection section = new EvacuationReportSection(zones, monitor);

    void read(final RowChange... rows) {
      listener.onUpToDate(now.get());
      listener.onSnapshot(List.of(rows));
    }

    void confirm() {
      listener.onUpToDate(now.get());
      listener.onChanges(List.of());
      monitor.expire();
    }

    RouterReport report() {
      final RouterReport.Builder report = RouterReport.newBuilder();
      section.write(report, now.get());
      return report.build();
    }

    void receive(final RouterReport report) {
      section.read(PEER, report, now.get());
    }
  }

  private final Side own = new Side();
  private final Side peer = new Side();

  private static RowChange row(final String key) {
    return new RowChange(key, Optional.of(""), 1);
  }

  @Test
  void gatewayThatLostTheStoreLearnsOfAnEvacuationFromItsPeer() {
    own.read();
    peer.read(row("evacuate/z0"));
    now.addAndGet(60_000);
    own.receive(peer.report());
    assertEquals(Set.of(ZONE), own.zones.zones());
    own.receive(new Side().report());
    assertEquals(Set.of(ZONE), own.zones.zones(), "a peer ends nothing");
    own.confirm();
    own.confirm();
    assertEquals(Set.of(), own.zones.zones(), "the store confirms that there is no row");
  }

  /** Guards against an ended evacuation that goes round between gateways without a store. */
  @Test
  void claimIsNotPassedOn() {
    own.receive(RouterReport.newBuilder().addEvacuatedZones("z0").build());
    assertEquals(Set.of(ZONE), own.zones.zones());
    assertEquals(RouterReport.getDefaultInstance(), own.report());
  }

  @Test
  void reportOfAnotherVersionOrWithNonsenseIsHarmless() {
    final RouterReport.Builder report = RouterReport.newBuilder();
    report.addEvacuatedZones("").addEvacuatedZones("no name").addEvacuatedZones("z0");
    for (int number = 0; number < 1_000; number++) {
      report.addEvacuatedZones("z" + number);
    }
    own.receive(RouterReport.getDefaultInstance());
    own.receive(report.build());
    assertTrue(own.zones.isEvacuated(ZONE));
    assertTrue(own.zones.zones().size() <= EvacuationReportSection.MAX_ZONES);
  }

  @Test
  void rowsThatNameNoZoneLeaveTheOthersAlone() {
    own.read(row("config"), row("evacuate/"), row("evacuate/no name"), row("evacuate/z0"));
    assertEquals(Set.of(ZONE), own.zones.zones());
    own.listener.onChanges(List.of(new RowChange("evacuate/", Optional.empty(), 2)));
    assertEquals(Set.of(ZONE), own.zones.zones());
    own.listener.onChanges(List.of(new RowChange("evacuate/z0", Optional.empty(), 3)));
    assertEquals(Set.of(), own.zones.zones());
  }
}
