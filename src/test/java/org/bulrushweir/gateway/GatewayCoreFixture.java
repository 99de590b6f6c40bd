package org.bulrushweir.gateway;

import io.netty.channel.EventLoop;
import java.io.OutputStream;
import java.io.PrintStream;
import java.util.EnumSet;
import java.util.List;
import java.util.Optional;
import org.bulrushweir.api.Clock;
import org.bulrushweir.api.NodeId;
import org.bulrushweir.api.ZoneName;
import org.bulrushweir.balancing.EndpointSelector;
import org.bulrushweir.balancing.EndpointTracker;
import org.bulrushweir.balancing.RetryBudget;
import org.bulrushweir.balancing.RetryBudgetSettings;
import org.bulrushweir.balancing.SelectorSettings;
import org.bulrushweir.catalog.ActivePlan;
import org.bulrushweir.catalog.EndpointDirectory;
import org.bulrushweir.coldstart.ColdBudget;
import org.bulrushweir.dispatch.DispatchPolicy;
import org.bulrushweir.dispatch.DispatchSettings;
import org.bulrushweir.logging.AsyncLogWriter;
import org.bulrushweir.quarantine.PromptQuarantine;
import org.bulrushweir.relay.DrainPolicy;
import org.bulrushweir.relay.PollMonitor;
import org.bulrushweir.settings.SocketAddressSettings;
import org.bulrushweir.store.SharedTable;

/**
 * Creates the core of a gateway without sockets, event loop and plan, at a time that stands still.
 */
final class GatewayCoreFixture {

  private static final NodeId NODE = new NodeId("gateway-1");

  private GatewayCoreFixture() {}

  /** Opens a gate that waits for the table of endpoints. */
  static void open(final StartGate gate, final EndpointDirectory directory) {
    gate.wrap(SharedTable.ENDPOINTS, new EndpointListener(directory, () -> 0)).onUnreachable(0);
  }

  /** Creates a log of requests. */
  static RequestLog requestLog(final AsyncLogWriter writer) {
    return new RequestLog(NODE, () -> 0, new ActivePlan(), new GatewayMetrics(), writer);
  }

  /** Creates the core, with an open start gate, at a time that stands still. */
  static GatewayCore create(final EndpointDirectory directory, final EndpointTracker tracker) {
    return create(directory, tracker, () -> 0);
  }

  /** Creates the core, with an open start gate. */
  static GatewayCore create(
      final EndpointDirectory directory, final EndpointTracker tracker, final Clock clock) {
    final StartGate gate = new StartGate(EnumSet.of(SharedTable.ENDPOINTS));
    open(gate, directory);
    return create(directory, tracker, clock, gate);
  }

  /** Creates the core with a start gate. */
  static GatewayCore create(
      final EndpointDirectory directory,
      final EndpointTracker tracker,
      final Clock clock,
      final StartGate gate) {
    final AsyncLogWriter writer =
        new AsyncLogWriter(new PrintStream(OutputStream.nullOutputStream()), 10);
    return create(
        directory,
        tracker,
        clock,
        gate,
        new ActivePlan(),
        null,
        null,
        new PollMonitor(clock.nowMs()),
        dispatchGate(DispatchSettings.OFF, clock, null, tracker),
        requestLog(writer));
  }

  /** Creates the core with a plan, an event loop and connections to endpoints. */
  static GatewayCore create(
      final EndpointDirectory directory,
      final EndpointTracker tracker,
      final Clock clock,
      final StartGate gate,
      final ActivePlan activePlan,
      final EventLoop loop,
      final ConnectionPool pool,
      final PollMonitor polls,
      final DispatchGate dispatch,
      final RequestLog log) {
    final ColdBudget unlimited =
        new ColdStartMonitor(NODE, Optional.empty(), activePlan, clock).budget();
    return create(
        directory, tracker, clock, gate, activePlan, loop, pool, polls, dispatch, log, unlimited);
  }

  /** Creates the core with a limit on what cold endpoints get. */
  static GatewayCore create(
      final EndpointDirectory directory,
      final EndpointTracker tracker,
      final Clock clock,
      final StartGate gate,
      final ActivePlan activePlan,
      final EventLoop loop,
      final ConnectionPool pool,
      final PollMonitor polls,
      final DispatchGate dispatch,
      final RequestLog log,
      final ColdBudget coldBudget) {
    final RetryBudget retryBudget = new RetryBudget(new RetryBudgetSettings(0.1, 10, 10_000));
    final PromptQuarantine quarantine = new PromptQuarantine();
    final PeerMesh mesh =
        new PeerMesh(
            NODE,
            new SocketAddressSettings("127.0.0.1", 0),
            clock,
            tracker,
            activePlan,
            retryBudget,
            quarantine,
            null,
            List.of());
    final EndpointSelector selector =
        new EndpointSelector(tracker, new ZoneName("zone-1"), new SelectorSettings(2, 1));
    final AttemptPlanner planner =
        new AttemptPlanner(directory, tracker, selector, retryBudget, mesh, quarantine, coldBudget);
    return new GatewayCore(
        clock,
        loop,
        activePlan,
        planner,
        pool,
        new CrashDetector(pool, quarantine, clock),
        new RequestAdmission(clock, activePlan, planner, new DrainPolicy(1_000)),
        gate,
        polls,
        dispatch,
        log);
  }

  /** Creates a gate that holds requests as the settings say. */
  static DispatchGate dispatchGate(
      final DispatchSettings settings,
      final Clock clock,
      final EventLoop loop,
      final EndpointTracker tracker) {
    return new DispatchGate(
        settings,
        new DispatchPolicy(settings, () -> 0),
        clock,
        loop,
        tracker,
        new GatewayMetrics().queue());
  }
}
