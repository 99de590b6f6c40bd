package org.bulrushweir.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.bulrushweir.api.EndpointId;
import org.bulrushweir.api.ServiceName;
import org.bulrushweir.api.ZoneName;
import org.bulrushweir.balancing.EndpointTracker;
import org.bulrushweir.catalog.EndpointDirectory;
import org.bulrushweir.catalog.EndpointRecord;
import org.bulrushweir.catalog.RequestKind;
import org.bulrushweir.catalog.Route;
import org.bulrushweir.catalog.WeightedService;
import org.bulrushweir.relay.AttemptId;
import org.bulrushweir.relay.EventStreamFramer;
import org.bulrushweir.relay.RelayEvent;
import org.bulrushweir.relay.RelayLimits;
import org.bulrushweir.relay.RequestHead;
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
            Optional.empty());
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
  void attemptThatIsNotSentAtTheExitEndsAsNotSent() {
    directory.put(new EndpointRecord(ENDPOINT, ORDERS, "127.0.0.1", 9, ZONE, 6, false, 0));
    final ExchangeAttempt attempt =
        new ExchangeAttempt(
            GatewayCoreFixture.create(directory, tracker),
            routedRequest(),
            null,
            new EventStreamFramer(Optional.empty()),
            owner(),
            new AttemptId(1),
            ENDPOINT);
    attempt.endUnsent();
    attempt.endUnsent();
    assertEquals(0, tracker.inFlight(ENDPOINT, 0));
    assertEquals(List.of(new RelayEvent.NotSent(new AttemptId(1), "the process stops")), events);
  }

  @Test
  void attemptAbandonedWhileConnectingIsRemovedFromLoadOnce() {
    directory.put(new EndpointRecord(ENDPOINT, ORDERS, "127.0.0.1", 9, ZONE, 6, false, 0));
    final ExchangeAttempt attempt =
        new ExchangeAttempt(
            GatewayCoreFixture.create(directory, tracker),
            routedRequest(),
            null,
            new EventStreamFramer(Optional.empty()),
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
