package org.bulrushweir.coldstart;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.bulrushweir.api.EndpointId;
import org.bulrushweir.api.NodeId;
import org.bulrushweir.api.ServiceName;
import org.bulrushweir.api.ZoneName;
import org.bulrushweir.catalog.EndpointRecord;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests that all gateways together stay within the bound of a cold endpoint. */
class ColdFleetTest {

  private static final String SEED = "41";
  private static final int BOUND = new ColdSettings(1.5, 5).bound(15);
  private static final long COLD_MS = 10_000_000;
  private static final EndpointRecord ENDPOINT =
      new EndpointRecord(
          new EndpointId("orders-1"),
          new ServiceName("orders"),
          "127.0.0.1",
          1,
          new ZoneName("zone-1"),
          8,
          false,
          1,
          COLD_MS);

  private static VirtualFleet.Sender budget(final NodeId self) {
    final ColdEndpoints endpoints = new ColdEndpoints();
    endpoints.observe(ENDPOINT, 1, 0);
    final GatewayView view = new GatewayView(self);
    final ColdBudget budget = new ColdBudget(endpoints, view, service -> OptionalInt.of(BOUND));
    return new VirtualFleet.Sender() {
      @Override
      public void registered(final Set<NodeId> listed, final long nowMs) {
        view.recordRegistered(listed, nowMs);
      }

      @Override
      public void heard(final NodeId peer, final boolean leaving, final long nowMs) {
        view.recordReport(peer, leaving, nowMs);
      }

      @Override
      public void update(final long nowMs) {
        budget.update(nowMs);
      }

      @Override
      public boolean trySend(final long nowMs) {
        return budget.trySend(ENDPOINT, nowMs);
      }

      @Override
      public void answered(final long nowMs) {
        budget.recordAnswer(ENDPOINT.id(), nowMs);
      }
    };
  }

  /** Divides the bound by the number of gateways that are heard at the moment. */
  private static VirtualFleet.Sender naive() {
    final Map<NodeId, Long> heard = new HashMap<>();
    final SendWindow window = new SendWindow();
    return new VirtualFleet.Sender() {
      @Override
      public void registered(final Set<NodeId> listed, final long nowMs) {}

      @Override
      public void heard(final NodeId peer, final boolean leaving, final long nowMs) {
        heard.put(peer, nowMs);
      }

      @Override
      public void update(final long nowMs) {
        heard.values().removeIf(atMs -> nowMs - atMs > 1_500);
      }

      @Override
      public boolean trySend(final long nowMs) {
        final boolean sent = window.sends(nowMs) < BOUND / (1 + heard.size());
        if (sent) {
          window.recordSend(nowMs);
        }
        return sent;
      }

      @Override
      public void answered(final long nowMs) {
        window.recordAnswer(nowMs);
      }
    };
  }

  /** Guards against shares that exceed the bound while gateways come, go, freeze or are cut off. */
  @Property(tries = 60, seed = SEED)
  void arrivalsStayWithinTheBound(
      @ForAll final long seed, @ForAll @IntRange(min = 1, max = 16) final int gateways) {
    final VirtualFleet fleet = new VirtualFleet(ColdFleetTest::budget, seed);
    fleet.join(gateways);
    final int most = fleet.run(100_000, 2_000);
    assertTrue(most <= BOUND, most + " arrivals in a second");
  }

  @ParameterizedTest
  @CsvSource({"3, 15", "12, 15", "29, 15", "300, 15"})
  void calmFleetUsesTheRateOfThePlan(final int gateways, final int least) {
    final VirtualFleet fleet = new VirtualFleet(ColdFleetTest::budget, gateways);
    fleet.join(gateways);
    final int most = fleet.run(6_000, 0);
    assertTrue(most >= least && most <= BOUND, most + " arrivals in a second");
  }

  /** Guards against a fleet whose gateways all start together and each believe to be alone. */
  @Test
  void manyDisturbancesInLargeFleet() {
    final VirtualFleet fleet = new VirtualFleet(ColdFleetTest::budget, 7);
    fleet.join(60);
    final int most = fleet.run(60_000, 500);
    assertTrue(most <= BOUND, most + " arrivals in a second");
  }

  /** Shows that the disturbances matter: the number of gateways heard now is not enough. */
  @Test
  void shareOfTheGatewaysHeardNowExceedsTheBound() {
    final VirtualFleet fleet = new VirtualFleet(self -> naive(), 1);
    fleet.join(6);
    final int most = fleet.run(100_000, 2_000);
    assertTrue(most > BOUND, most + " arrivals in a second");
  }
}
