package org.bulrushweir.gateway;

import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.bulrushweir.api.NodeId;
import org.bulrushweir.balancing.EndpointTracker;
import org.bulrushweir.balancing.RetryBudget;
import org.bulrushweir.balancing.RetryBudgetSettings;
import org.bulrushweir.catalog.ActivePlan;
import org.bulrushweir.catalog.EndpointDirectory;
import org.bulrushweir.quarantine.PromptQuarantine;
import org.bulrushweir.settings.SocketAddressSettings;
import org.bulrushweir.store.RowChange;
import org.bulrushweir.wire.DatagramTransport;
import org.bulrushweir.wire.generated.RouterReport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests the exchange of reports when another writer names peers that do not exist. */
class PeerMeshTest {

  private static final String HOST = "127.0.0.1";

  private final BlockingQueue<byte[]> received = new LinkedBlockingQueue<>();
  private final DatagramTransport peer = DatagramTransport.bind(HOST, 0, received::add);
  private final DatagramTransport own = DatagramTransport.bind(HOST, 0, datagram -> {});
  private final PeerMesh mesh =
      new PeerMesh(
          new NodeId("gateway-1"),
          new SocketAddressSettings(HOST, 0),
          () -> 0,
          new EndpointTracker(new EndpointDirectory(), service -> 0, 1),
          new ActivePlan(),
          new RetryBudget(new RetryBudgetSettings(0.1, 10, 10_000)),
          new PromptQuarantine(),
          null,
          List.of());

  @AfterEach
  void close() {
    peer.close();
    own.close();
  }

  private static RowChange row(final String key, final String value) {
    return new RowChange(key, Optional.of(value), 1);
  }

  private void assertPeerIsReached() throws InterruptedException {
    mesh.addRegistered(List.of(row("gateway-2", HOST + ':' + peer.port())));
    assertDoesNotThrow(() -> mesh.sendReport(false));
    assertEquals(true, received.poll(5, TimeUnit.SECONDS) != null, "a report must arrive");
  }

  /** Guards against a report that ends the periodic task of a gateway. */
  @Test
  void peerThatStatesNoUsableAddressIsIgnored() throws InterruptedException {
    mesh.socketBound(own);
    final RouterReport.Builder report =
        RouterReport.newBuilder().setNode("gateway-3").setIncarnation(1).setSequence(1);
    for (final int port : List.of(0, -1, 65_536, Integer.MAX_VALUE)) {
      mesh.receive(report.setHost(HOST).setPort(port).build().toByteArray());
      assertPeerIsReached();
    }
    for (final String host : List.of("", "peer.invalid", "256.0.0.1")) {
      mesh.receive(report.setHost(host).setPort(80).build().toByteArray());
      assertPeerIsReached();
    }
  }

  @Test
  void registrationWithoutUsableAddressIsIgnored() throws InterruptedException {
    mesh.socketBound(own);
    mesh.addRegistered(
        List.of(
            row("gateway-4", "peer.invalid:80"),
            row("gateway-5", HOST + ":0"),
            row("gateway-6", HOST + ":65536"),
            row("gateway-7", "[".repeat(20_000)),
            row("not a name", HOST + ":80")));
    assertPeerIsReached();
  }

  /** Guards against an early report after the last one, which would add the process again. */
  @Test
  void nothingIsReportedAfterTheLastReport() throws InterruptedException {
    mesh.socketBound(own);
    assertPeerIsReached();
    mesh.sendReport(true);
    assertEquals(true, received.poll(5, TimeUnit.SECONDS) != null, "the last report must arrive");
    mesh.sendReport(false);
    assertEquals(null, received.poll(300, TimeUnit.MILLISECONDS));
  }
}
