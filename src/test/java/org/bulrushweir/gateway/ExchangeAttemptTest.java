package org.bulrushweir.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.OutputStream;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.bulrushweir.api.Clock;
import org.bulrushweir.api.EndpointId;
import org.bulrushweir.api.NodeId;
import org.bulrushweir.api.ServiceName;
import org.bulrushweir.api.ZoneName;
import org.bulrushweir.balancing.EndpointSelector;
import org.bulrushweir.balancing.EndpointTracker;
import org.bulrushweir.balancing.RetryBudget;
import org.bulrushweir.balancing.RetryBudgetSettings;
import org.bulrushweir.balancing.SelectorSettings;
import org.bulrushweir.catalog.ActivePlan;
import org.bulrushweir.catalog.EndpointDirectory;
import org.bulrushweir.catalog.EndpointRecord;
import org.bulrushweir.catalog.RequestKind;
import org.bulrushweir.catalog.Route;
import org.bulrushweir.catalog.WeightedService;
import org.bulrushweir.logging.AsyncLogWriter;
import org.bulrushweir.relay.AttemptId;
import org.bulrushweir.relay.DrainPolicy;
import org.bulrushweir.relay.EventStreamFramer;
import org.bulrushweir.relay.RelayEvent;
import org.bulrushweir.relay.RelayLimits;
import org.bulrushweir.relay.RequestHead;
import org.bulrushweir.settings.SocketAddressSettings;
import org.bulrushweir.store.SharedTable;
import org.junit.jupiter.api.Test;

/**
 * Tests that an attempt is removed from its endpoint's load exactly once. An attempt that was
 * cancelled while it was connecting used to be removed a second time when the connection then
 * failed. Without the check in {@code onConnectFailure} the load would be -1.
 */
class ExchangeAttemptTest {

  private static final ServiceName ORDERS = new ServiceName("orders");
  private static final EndpointId ENDPOINT = new EndpointId("orders-1");
  private static final ZoneName ZONE = new ZoneName("zone-1");

  private final EndpointDirectory directory = new EndpointDirectory();
  private final EndpointTracker tracker = new EndpointTracker(directory, service -> 0, 1);
  private final List<RelayEvent> events = new ArrayList<>();

  private GatewayCore core() {
    final Clock clock = () -> 0;
    final NodeId node = new NodeId("gateway-1");
    final ActivePlan activePlan = new ActivePlan();
    final RetryBudget retryBudget = new RetryBudget(new RetryBudgetSettings(0.1, 10, 10_000));
    final PeerMesh mesh =
        new PeerMesh(
            node,
            new SocketAddressSettings("127.0.0.1", 0),
            clock,
            tracker,
            activePlan,
            retryBudget,
            null);
    final EndpointSelector selector =
        new EndpointSelector(tracker, ZONE, new SelectorSettings(2, 1));
    final AsyncLogWriter log =
        new AsyncLogWriter(new PrintStream(OutputStream.nullOutputStream()), 10);
    return new GatewayCore(
        clock,
        null,
        activePlan,
        new AttemptPlanner(directory, tracker, selector, retryBudget, mesh),
        null,
        new DrainPolicy(1_000),
        new StartGate(EnumSet.noneOf(SharedTable.class)),
        new RequestLog(node, clock, activePlan, new GatewayMetrics(), log));
  }

  private static RoutedRequest routedRequest() {
    final Route route =
        new Route(
            "book",
            "orders.example",
            "/book/",
            RequestKind.UNSAFE,
            1_000,
            100,
            0,
            List.of(new WeightedService(ORDERS, 1)),
            1,
            true,
            false,
            false);
    final RequestHead head =
        new RequestHead(
            "request-1",
            "orders.example",
            "/book/1",
            OptionalLong.empty(),
            Optional.empty(),
            List.of(),
            OptionalLong.empty(),
            OptionalLong.empty());
    final RelayLimits limits = new RelayLimits(false, false, 1, 1_000, 400, 400);
    return new RoutedRequest(head, route, ORDERS, Optional.empty(), 0, limits, 0, 1);
  }

  private AttemptOwner owner() {
    return new AttemptOwner() {
      @Override
      public void handle(final RelayEvent event) {
        events.add(event);
      }

      @Override
      public void writeRequest(final ExchangeAttempt attempt, final EndpointConnection connection) {
        throw new IllegalStateException("no connection is opened in this test");
      }

      @Override
      public boolean isResponseStarted() {
        return false;
      }

      @Override
      public boolean isCallerDisconnected() {
        return true;
      }
    };
  }

  @Test
  void attemptAbandonedWhileConnectingIsRemovedFromLoadOnce() {
    directory.put(new EndpointRecord(ENDPOINT, ORDERS, "127.0.0.1", 9, ZONE, 6, false, 0));
    final ExchangeAttempt attempt =
        new ExchangeAttempt(
            core(),
            routedRequest(),
            null,
            new EventStreamFramer(-1),
            owner(),
            new AttemptId(1),
            ENDPOINT);
    assertEquals(1, tracker.inFlight(ENDPOINT, 0));
    attempt.abandon();
    attempt.onConnectFailure("the connection timed out");
    assertEquals(0, tracker.inFlight(ENDPOINT, 0));
    assertEquals(List.of(), events);
  }
}
