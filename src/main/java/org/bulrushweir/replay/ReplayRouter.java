package org.bulrushweir.replay;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.bulrushweir.api.EndpointId;
import org.bulrushweir.declaration.WorkClass;
import org.bulrushweir.delivery.ExtraAttemptBudget;
import org.bulrushweir.delivery.HedgeDelay;
import org.bulrushweir.membership.AgedReport;
import org.bulrushweir.membership.EndpointBackoff;
import org.bulrushweir.membership.EndpointInfo;
import org.bulrushweir.membership.EndpointTable;
import org.bulrushweir.routing.EndpointPool;
import org.bulrushweir.routing.EndpointPoolCache;
import org.bulrushweir.routing.EndpointView;
import org.bulrushweir.trace.TraceRecord;

/** A router of a replayed fleet. */
final class ReplayRouter extends ReplayNode {

  /** How many extra attempts a request pays for after failures. */
  private static final double RETRY_SHARE = 0.1;

  /** How many second attempts a request pays for. */
  private static final double HEDGE_SHARE = 0.05;

  /** How many extra attempts can be saved up. */
  private static final double BUDGET_CAPACITY = 10;

  /** How many reports ride on a message. */
  private static final int MAXIMUM_REPORTS = 16;

  /** Pays for attempts after failures. */
  private final ExtraAttemptBudget retryBudget =
      new ExtraAttemptBudget(RETRY_SHARE, BUDGET_CAPACITY);

  /** Pays for second attempts. */
  private final ExtraAttemptBudget hedgeBudget =
      new ExtraAttemptBudget(HEDGE_SHARE, BUDGET_CAPACITY);

  /** Decides when a second endpoint is asked. */
  private final HedgeDelay hedgeDelay = new HedgeDelay();

  /** Which endpoints could not be reached. */
  private final EndpointBackoff backoff = new EndpointBackoff();

  /** The endpoints to choose among. */
  private final EndpointPoolCache pools;

  /** The router's name. */
  private final String name;

  /** For random choices. */
  private final SplittableRandom random;

  /**
   * Creates a router.
   *
   * @param replay the replay
   * @param name its name
   * @param random for random choices
   */
  ReplayRouter(final Replay replay, final String name, final SplittableRandom random) {
    super(replay, random.split());
    this.name = name;
    this.random = random;
    this.pools = new EndpointPoolCache(table(), backoff);
  }

  @Override
  boolean isAlive() {
    return true;
  }

  @Override
  void refreshReport() {
    // A router has no endpoint.
  }

  ExtraAttemptBudget retryBudget() {
    return retryBudget;
  }

  ExtraAttemptBudget hedgeBudget() {
    return hedgeBudget;
  }

  HedgeDelay hedgeDelay() {
    return hedgeDelay;
  }

  EndpointBackoff contacts() {
    return backoff;
  }

  /**
   * Serves a request.
   *
   * @param chat the request
   * @param hint where the chat's last answer came from, null if the caller does not say
   */
  void serve(final TraceRecord.ChatRequested chat, final EndpointId hint) {
    final WorkClass workClass = replay().options().declaration().classes().get(chat.workClass());
    final RouteContext context =
        new RouteContext(
            chat.chatHash(),
            hint,
            this::pool,
            this::laggingViews,
            replay().options().service().loadMultiple(),
            random);
    new ReplayRequest(this, chat, workClass, hint, replay().policy().candidates(context)).start();
  }

  /**
   * Returns the endpoints as the router knows them from sidecars' reports.
   *
   * @return the endpoints to choose among
   */
  EndpointPool pool() {
    final List<EndpointId> endpoints =
        replay().laggingList().stream()
            .map(EndpointInfo::id)
            .filter(endpoint -> !table().isLeaving(EndpointTable.key(endpoint)))
            .toList();
    return pools.pool(replay().options().service().name(), endpoints, nowMs());
  }

  /** Lists the endpoints as the router knows them from the engines' own lagging reports. */
  private List<EndpointView> laggingViews() {
    final List<EndpointView> views = new ArrayList<>();
    for (final EndpointInfo info : replay().laggingList()) {
      final ReplayEndpoint endpoint = replay().endpoint(info.id());
      views.add(
          new EndpointView(
              info.id(),
              EndpointTable.key(info.id()),
              Long.MAX_VALUE,
              backoff.isBackedOff(info.id(), nowMs()),
              endpoint.laggingLoad(),
              0,
              0));
    }
    return views;
  }

  /**
   * Returns the freshest reports, to ride on a message.
   *
   * @param receiver the endpoint that the message goes to
   * @return the reports
   */
  List<AgedReport> reportsFor(final EndpointId receiver) {
    return table()
        .freshest(
            replay().options().service().name(),
            EndpointTable.key(receiver),
            MAXIMUM_REPORTS,
            nowMs());
  }

  /**
   * Takes a report that rode on a message.
   *
   * @param report the report
   */
  void learn(final AgedReport report) {
    table().merge(report, nowMs());
    describeAll();
  }

  @Override
  public String toString() {
    return name;
  }
}
