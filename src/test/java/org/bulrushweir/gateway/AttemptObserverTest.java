package org.bulrushweir.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.atomic.AtomicLong;
import org.bulrushweir.api.EndpointId;
import org.bulrushweir.api.ServiceName;
import org.bulrushweir.api.ZoneName;
import org.bulrushweir.balancing.AttemptOutcome;
import org.bulrushweir.balancing.EndpointTracker;
import org.bulrushweir.balancing.PlacementSnapshot;
import org.bulrushweir.catalog.EndpointDirectory;
import org.bulrushweir.catalog.EndpointRecord;
import org.bulrushweir.catalog.RequestKind;
import org.bulrushweir.catalog.Route;
import org.bulrushweir.catalog.WeightedService;
import org.bulrushweir.platform.ResponseTranslator;
import org.bulrushweir.relay.RelayLimits;
import org.bulrushweir.relay.RequestHead;
import org.junit.jupiter.api.Test;

/** Tests that what attempts tell about their endpoints reaches the selection. */
class AttemptObserverTest {

  private static final ServiceName SERVICE = new ServiceName("lookups");
  private static final EndpointId ENDPOINT = new EndpointId("lookups-1");
  private static final long TARGET_MS = 190;

  private final AtomicLong now = new AtomicLong(1_000_000);
  private final EndpointDirectory directory = new EndpointDirectory();
  private final EndpointTracker tracker = new EndpointTracker(directory, service -> 0, 1);
  private final GatewayCore core = GatewayCoreFixture.create(directory, tracker, now::get);

  private static RoutedRequest call() {
    final Route route =
        new Route(
            "look",
            "orders.example",
            "/look/",
            RequestKind.SAFE,
            2_000,
            TARGET_MS,
            0,
            List.of(new WeightedService(SERVICE, 1)),
            2,
            true,
            false,
            false);
    final RequestHead head =
        new RequestHead(
            "request-1",
            "orders.example",
            "/look/1",
            OptionalLong.empty(),
            Optional.empty(),
            List.of(),
            OptionalLong.empty(),
            Optional.empty());
    final RelayLimits limits = new RelayLimits(true, false, 2, 2_000, 570, 570);
    return new RoutedRequest(head, route, SERVICE, Optional.empty(), 0, limits, 0, 1);
  }

  private EndpointRecord register(final long startedAtMs) {
    final EndpointRecord endpoint =
        new EndpointRecord(
            ENDPOINT, SERVICE, "127.0.0.1", 9, new ZoneName("zone-1"), 2, false, startedAtMs);
    directory.put(endpoint);
    return endpoint;
  }

  private AttemptObserver sent() {
    final RoutedRequest call = call();
    final PlacementSnapshot placement =
        core.planner().recordAttempt(call, ENDPOINT, Optional.empty(), now.get());
    final AttemptObserver observer = new AttemptObserver(core, call, ENDPOINT, placement);
    observer.sent();
    return observer;
  }

  private void receive(final AttemptObserver observer, final EndpointRecord endpoint) {
    final HttpResponse response =
        new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
    response.headers().set("X-Server-Load", "1,0,2,250");
    observer.headReceived(endpoint, response, ResponseTranslator.head(response));
  }

  private long slowCount() {
    return tracker.observations().slowCount(now.get());
  }

  @Test
  void statedPaceReachesTheSelectionAndExpires() {
    final EndpointRecord endpoint = register(1);
    receive(sent(), endpoint);
    assertEquals(1, slowCount());
    now.addAndGet(600);
    assertEquals(0, slowCount());
  }

  /** A new run at the same id must not be avoided for what the old one said. */
  @Test
  void statementOfAnEndedRunIsDropped() {
    final EndpointRecord old = register(1);
    final AttemptObserver observer = sent();
    register(2);
    receive(observer, old);
    assertEquals(0, slowCount());
  }

  /** Refused calls and calls that fail at once say nothing about the time that calls take. */
  @Test
  void onlyAnsweredCallsCountAsMeasured() {
    final EndpointRecord endpoint = register(1);
    for (int number = 0; number < 30; number++) {
      sent().finished(number % 2 == 0 ? AttemptOutcome.REFUSED : AttemptOutcome.FAILED);
    }
    assertEquals(Long.MAX_VALUE, tracker.observations().secondAttemptMs(SERVICE, TARGET_MS));
    for (int number = 0; number < 60; number++) {
      final AttemptObserver observer = sent();
      now.addAndGet(number == 30 ? 900 : 50);
      receive(observer, endpoint);
      observer.finished(AttemptOutcome.ANSWERED);
    }
    final long secondMs = tracker.observations().secondAttemptMs(SERVICE, TARGET_MS);
    assertTrue(secondMs > 50 && secondMs < 140, "second attempt after " + secondMs);
  }
}
