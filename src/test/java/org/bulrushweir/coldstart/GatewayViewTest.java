package org.bulrushweir.coldstart;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Optional;
import java.util.Set;
import org.bulrushweir.api.NodeId;
import org.junit.jupiter.api.Test;

/** Tests when a gateway has a share, and which others it counts. */
class GatewayViewTest {

  private static final NodeId SELF = new NodeId("gateway-1");
  private static final NodeId PEER = new NodeId("gateway-2");
  private static final Optional<NoShareReason> NONE = Optional.empty();
  private static final Optional<NoShareReason> STARTED =
      Optional.of(NoShareReason.STARTED_OR_RESUMED);

  private final GatewayView view = new GatewayView(SELF);

  /** Runs the periodic task until a time, with a report of the peer each time if it is heard. */
  private void run(final long fromMs, final long untilMs, final boolean heard) {
    for (long nowMs = fromMs; nowMs <= untilMs; nowMs += 200) {
      view.update(nowMs);
      if (heard) {
        view.recordReport(PEER, false, nowMs);
      }
    }
  }

  @Test
  void startedGatewayWaitsUntilItIsRegisteredAndKnown() {
    run(0, 5_000, false);
    assertEquals(Optional.of(NoShareReason.NOT_REGISTERED), view.noShareReason(5_000));
    view.recordRegistered(Set.of(SELF), 5_000);
    run(5_000, 6_800, false);
    assertEquals(STARTED, view.noShareReason(6_900));
    assertEquals(NONE, view.noShareReason(7_000));
  }

  /** Guards against a gateway that starts while a peer that it can't reach knows nothing of it. */
  @Test
  void startedGatewayWaitsForPeersThatItDoesNotHear() {
    view.update(0);
    view.recordRegistered(Set.of(SELF, PEER, new NodeId("gateway-3")), 0);
    run(200, 16_800, true);
    assertEquals(STARTED, view.noShareReason(16_900));
    assertEquals(NONE, view.noShareReason(17_000));
  }

  /** Guards against requests that a gateway sends after a freeze by what it knew before. */
  @Test
  void resumedGatewayWaitsUntilItHearsPeersAgain() {
    view.update(0);
    view.recordRegistered(Set.of(SELF, PEER), 0);
    run(0, 5_000, true);
    assertEquals(NONE, view.noShareReason(6_000));
    assertEquals(STARTED, view.noShareReason(7_100));
    view.recordReport(PEER, false, 7_100);
    run(7_100, 9_100, false);
    assertEquals(Optional.of(NoShareReason.ISOLATED), view.noShareReason(9_200));
    view.recordReport(PEER, false, 9_300);
    run(9_300, 11_300, true);
    assertEquals(NONE, view.noShareReason(11_400));
  }

  /** Guards against a share that is used after peers may have given it to others. */
  @Test
  void isolatedGatewayStopsBeforeItsPeersForgetIt() {
    view.update(0);
    view.recordRegistered(Set.of(SELF), 0);
    run(0, 4_000, true);
    run(4_200, 14_000, false);
    assertEquals(NONE, view.noShareReason(14_000));
    assertEquals(Optional.of(NoShareReason.ISOLATED), view.noShareReason(14_100));
    view.recordReport(PEER, false, 14_200);
    assertEquals(STARTED, view.noShareReason(14_300));
  }

  @Test
  void silentPeersCountUntilTheirSharesHaveExpired() {
    view.recordReport(PEER, false, 0);
    assertEquals(2, view.size());
    view.update(GatewayView.COUNTED_MS);
    assertEquals(2, view.size());
    view.update(GatewayView.COUNTED_MS + 1);
    assertEquals(1, view.size());
    view.recordRegistered(Set.of(PEER), 50_000);
    view.update(649_999);
    assertEquals(2, view.size());
    view.update(650_001);
    assertEquals(1, view.size());
  }

  @Test
  void peerThatStopsCountsAsLongAsItsLastRequests() {
    view.recordRegistered(Set.of(PEER), 0);
    view.recordReport(PEER, true, 1_000);
    view.update(4_000);
    assertEquals(2, view.size());
    view.update(4_001);
    assertEquals(1, view.size());
  }
}
