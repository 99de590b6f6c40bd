package org.bulrushweir.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.io.OutputStream;
import java.io.PrintStream;
import java.lang.reflect.Proxy;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.EnumSet;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.bulrushweir.api.EndpointId;
import org.bulrushweir.api.ServiceName;
import org.bulrushweir.api.ZoneName;
import org.bulrushweir.balancing.EndpointTracker;
import org.bulrushweir.balancing.PromptSegment;
import org.bulrushweir.catalog.ActivePlan;
import org.bulrushweir.catalog.EndpointDirectory;
import org.bulrushweir.catalog.EndpointRecord;
import org.bulrushweir.catalog.EvacuatedZones;
import org.bulrushweir.catalog.RequestKind;
import org.bulrushweir.catalog.Route;
import org.bulrushweir.catalog.WeightedService;
import org.bulrushweir.dispatch.DispatchSettings;
import org.bulrushweir.logging.AsyncLogWriter;
import org.bulrushweir.relay.AttemptId;
import org.bulrushweir.relay.EventStreamFramer;
import org.bulrushweir.relay.PollMonitor;
import org.bulrushweir.relay.RelayEvent;
import org.bulrushweir.relay.RelayLimits;
import org.bulrushweir.relay.RequestHead;
import org.bulrushweir.store.SharedTable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Tests an attempt that waits, for a prefix of its prompt or for a connection, while the zone of
 * its endpoint is evacuated or the endpoint begins to drain.
 */
class EvacuatedAttemptTest {

  private static final ServiceName ASSISTANT = new ServiceName("assistant");
  private static final ZoneName ZONE = new ZoneName("z0");
  private static final EndpointRecord ENGINE =
      new EndpointRecord(new EndpointId("engine-1"), ASSISTANT, "127.0.0.1", 9, ZONE, 64, false, 1);
  private static final RelayEvent NOT_ACCEPTED =
      new RelayEvent.NotAccepted(new AttemptId(1), "the endpoint accepts no requests any more");

  private final EmbeddedChannel timers = new EmbeddedChannel();
  private final EndpointDirectory directory = new EndpointDirectory();
  private final EvacuatedZones zones = new EvacuatedZones(5_000);
  private final EndpointTracker tracker =
      new EndpointTracker(directory, service -> 400_000, 69.8, zones::accepts);
  private final ConnectionPool pool =
      new ConnectionPool(timers.eventLoop(), () -> 0, (endpoint, request, kind) -> {});
  private final List<RelayEvent> events = new ArrayList<>();
  private final PollMonitor polls = new PollMonitor(0);
  private int written;

  private final AttemptOwner owner =
      new AttemptOwner() {
        @Override
        public void handle(final RelayEvent event) {
          events.add(event);
        }

        @Override
        public void writeRequest(
            final ExchangeAttempt attempt, final EndpointConnection connection) {
          written++;
        }

        @Override
        public boolean isResponseStarted() {
          return false;
        }

        @Override
        public boolean isCallerDisconnected() {
          return false;
        }
      };

  /** The times since which the caller's connection is unread, in the order of the questions. */
  private final Deque<Long> unreadSinceMs = new ArrayDeque<>();

  /** A caller whose connection is read unless a question is scripted; then its requests wait. */
  private final CallerConnection caller =
      (CallerConnection)
          Proxy.newProxyInstance(
              CallerConnection.class.getClassLoader(),
              new Class<?>[] {CallerConnection.class},
              (proxy, method, arguments) ->
                  method.getReturnType() == long.class
                      ? (Object) Objects.requireNonNullElse(unreadSinceMs.poll(), 0L)
                      : (Object) true);

  @BeforeEach
  void addEngineWithConnection() {
    directory.put(ENGINE);
    final EndpointResponseDecoder decoder = new EndpointResponseDecoder();
    final EndpointConnection connection = new EndpointConnection(ENGINE, decoder, pool);
    new EmbeddedChannel(
        new IdleBytesHandler(connection), new HttpRequestEncoder(), decoder, connection);
    pool.release(connection);
  }

  @AfterEach
  void close() {
    timers.close();
  }

  private static List<PromptSegment> prompt(final long ownSegment) {
    return List.of(new PromptSegment(1, 7_000), new PromptSegment(ownSegment, 100));
  }

  private ExchangeAttempt waitingAttempt() {
    tracker.recordAttempt(ENGINE.id(), prompt(2), Optional.empty(), 0);
    // Otherwise the attempt would send a report to peers, which this test has none of.
    tracker.drainPlacements();
    final StartGate gate = new StartGate(EnumSet.of(SharedTable.ENDPOINTS));
    final AsyncLogWriter log =
        new AsyncLogWriter(new PrintStream(OutputStream.nullOutputStream()), 10);
    final ExchangeAttempt attempt =
        new ExchangeAttempt(
            GatewayCoreFixture.create(
                directory,
                tracker,
                () -> 0,
                gate,
                new ActivePlan(),
                timers.eventLoop(),
                pool,
                polls,
                GatewayCoreFixture.dispatchGate(
                    DispatchSettings.OFF, () -> 0, timers.eventLoop(), tracker),
                GatewayCoreFixture.requestLog(log)),
            routedRequest(),
            caller,
            new EventStreamFramer(Optional.empty()),
            owner,
            new AttemptId(1),
            ENGINE.id());
    assertTrue(attempt.placement().awaitMs() > 0);
    attempt.start();
    return attempt;
  }

  private static RoutedRequest routedRequest() {
    final Route route =
        new Route(
            "draft",
            "chat.example",
            "/draft/",
            RequestKind.STREAM,
            4_000,
            800,
            0,
            List.of(new WeightedService(ASSISTANT, 1)),
            1,
            true,
            false,
            false);
    final RequestHead head =
        new RequestHead(
            "request-1",
            "chat.example",
            "/draft/1",
            OptionalLong.empty(),
            Optional.empty(),
            prompt(3),
            OptionalLong.empty(),
            Optional.empty());
    final RelayLimits limits = new RelayLimits(false, false, 1, 4_000, 1_600, 1_000);
    return new RoutedRequest(head, route, ASSISTANT, Optional.empty(), 0, limits, 0, 1);
  }

  private void waitForPrefix() {
    timers.advanceTimeBy(300, TimeUnit.MILLISECONDS);
    timers.runScheduledPendingTasks();
  }

  @Test
  void attemptIsSentAfterTheWait() {
    waitingAttempt();
    waitForPrefix();
    assertEquals(1, written);
    assertEquals(List.of(new RelayEvent.Sent(new AttemptId(1))), events);
  }

  /** Guards against a request that reaches the zone because it was selected before the row. */
  @Test
  void attemptThatWaitsForPrefixIsNotSentToAnEvacuatedZone() {
    waitingAttempt();
    zones.put(ZONE, 0);
    waitForPrefix();
    assertEquals(0, written);
    assertEquals(List.of(NOT_ACCEPTED), events);
    assertEquals(1, tracker.inFlight(ENGINE.id(), 0), "only the other request is left");
  }

  /** Guards against a request that waits with an open connection when the row comes. */
  @Test
  void attemptThatWaitsWithOpenConnectionIsNotSentToAnEvacuatedZone() {
    unreadSinceMs.addAll(List.of(0L, -1_000L));
    waitingAttempt();
    waitForPrefix();
    assertEquals(List.of(), events, "the caller's connection must be read first");
    zones.put(ZONE, 0);
    polls.pollStarted(0, 0);
    polls.pollEnded(0).forEach(Runnable::run);
    assertEquals(0, written);
    assertEquals(List.of(NOT_ACCEPTED), events);
  }

  @Test
  void attemptThatWaitsIsNotSentToAnEndpointThatBeginsToDrain() {
    waitingAttempt();
    directory.put(ENGINE.asDraining());
    waitForPrefix();
    assertEquals(0, written);
    assertEquals(List.of(NOT_ACCEPTED), events);
  }
}
