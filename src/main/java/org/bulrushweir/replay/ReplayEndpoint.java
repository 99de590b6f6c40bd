package org.bulrushweir.replay;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import org.bulrushweir.admission.AdmissionDecision;
import org.bulrushweir.admission.AdmissionSettings;
import org.bulrushweir.admission.EndpointGate;
import org.bulrushweir.admission.Offer;
import org.bulrushweir.admission.WorkItem;
import org.bulrushweir.affinity.CacheTransferPolicy;
import org.bulrushweir.affinity.ChatLocationMap;
import org.bulrushweir.api.AttemptKey;
import org.bulrushweir.api.EndpointId;
import org.bulrushweir.api.Incarnation;
import org.bulrushweir.api.OrganisationId;
import org.bulrushweir.api.ZoneName;
import org.bulrushweir.declaration.WorkClass;
import org.bulrushweir.delivery.AnswerSummary;
import org.bulrushweir.delivery.RefusalKind;
import org.bulrushweir.membership.AgedReport;
import org.bulrushweir.membership.EndpointInfo;
import org.bulrushweir.membership.EndpointTable;
import org.bulrushweir.membership.PoolStatistics;
import org.bulrushweir.routing.HashRing;
import org.bulrushweir.sidecar.AdmissionSettingsReader;

/** An engine of a replayed fleet with its sidecar: the real gate before a model of the engine. */
final class ReplayEndpoint extends ReplayNode implements EngineModel.Listener {

  /** How many chats are remembered at the most. */
  private static final int REMEMBERED_CHATS = 200_000;

  /** How many tokens a part of an answer has after the first one. */
  private static final int TOKENS_PER_PART = 8;

  /** How long an import takes besides its tokens, in milliseconds. */
  private static final double IMPORT_OVERHEAD_MS = 20;

  /** How many tokens of a cache are imported in a millisecond. */
  private static final double IMPORT_TOKENS_PER_MS = 24;

  /** A point in time that never comes, in milliseconds. */
  private static final long NEVER_MS = Long.MAX_VALUE / 2;

  /** For what all requests are taken where sidecars do not tell classes apart. */
  private static final WorkClass ANY_CLASS = new WorkClass("any", 0, NEVER_MS, NEVER_MS, 1, true);

  /** For whom all requests are taken where sidecars do not tell organisations apart. */
  private static final OrganisationId ANYBODY = new OrganisationId("anybody");

  /** The attempts that were accepted, by key. */
  private final Map<AttemptKey, Accepted> accepted = new HashMap<>();

  /** When attempts that have ended were started, by key, in milliseconds. */
  private final Map<AttemptKey, Accepted> ended = new HashMap<>();

  /** The loads of the recent past, for reports that lag. */
  private final Deque<PastLoad> pastLoads = new ArrayDeque<>();

  /** The endpoint. */
  private final EndpointInfo info;

  /** Decides what is accepted and what runs next. */
  private final EndpointGate gate;

  /** The engine. */
  private final EngineModel engine;

  /** Whether the process runs. */
  private boolean alive = true;

  /** Whether the platform lists the endpoint. */
  private boolean listed = true;

  /**
   * Creates an idle endpoint.
   *
   * @param replay the replay
   * @param id the endpoint
   * @param random breaks ties
   */
  ReplayEndpoint(final Replay replay, final EndpointId id, final SplittableRandom random) {
    super(replay, random);
    final ReplayOptions options = replay.options();
    this.info = new EndpointInfo(id, "", 0, new ZoneName("zone"), options.service().name());
    this.engine = new EngineModel(replay.queue(), options.engine(), this);
    this.gate =
        new EndpointGate(
            id,
            new Incarnation(replay.queue().nowMs()),
            settings(replay),
            new ChatLocationMap(REMEMBERED_CHATS, replay.queue().nowMs()),
            replay.queue().nowMs());
  }

  private static AdmissionSettings settings(final Replay replay) {
    final ReplayOptions options = replay.options();
    if (replay.policy().enforced()) {
      return AdmissionSettingsReader.read(options.declaration(), options.service());
    }
    return new AdmissionSettings(options.service().slots(), 0, Double.POSITIVE_INFINITY, Map.of());
  }

  EndpointId id() {
    return info.id();
  }

  EndpointInfo info() {
    return info;
  }

  @Override
  boolean isAlive() {
    return alive;
  }

  boolean isListed() {
    return listed;
  }

  long load() {
    return gate.load();
  }

  /**
   * Returns the work of the largest attempt that the endpoint carries.
   *
   * @return the work in work units, zero if it is idle
   */
  long largestCost() {
    return gate.largestWork();
  }

  /**
   * Returns the load that the engine itself reports, late.
   *
   * @return the number of requests that were queued or running
   */
  long laggingLoad() {
    final long visibleMs = nowMs() - replay().options().reportLagMs();
    long visible = 0;
    for (final PastLoad past : pastLoads) {
      if (past.timeMs() <= visibleMs) {
        visible = past.requests();
      }
    }
    return visible;
  }

  void slowDown(final double factor) {
    engine.slowDown(factor);
  }

  /**
   * Takes the endpoint away.
   *
   * @param planned whether it may end its work and hand its caches over
   */
  void leave(final boolean planned) {
    listed = false;
    replay().listChanged();
    gate.setLeaving(true);
    if (planned) {
      refreshReport();
      if (replay().policy().enforced()) {
        handOver(gate.localChats());
      }
      return;
    }
    alive = false;
    accepted.forEach((key, entry) -> entry.message().request().endpointDied(key.attempt()));
  }

  private void handOver(final List<Long> chats) {
    final HashRing successors =
        new HashRing(replay().liveEndpoints().stream().map(ReplayEndpoint::id).toList());
    chats.forEach(chat -> handOver(chat, successors));
  }

  private void handOver(final long chat, final HashRing successors) {
    final int tokens = engine.cached(chat);
    if (tokens > 0) {
      final EndpointId receiver = successors.ownerOf(chat);
      replay().transmit(() -> replay().endpoint(receiver).imported(chat, tokens));
    }
  }

  private void imported(final long chat, final int tokens) {
    engine.store(chat, tokens);
    gate.recordImport(chat, tokens, nowMs());
  }

  /**
   * Takes note that a chat whose home is here ran elsewhere.
   *
   * @param chat the chat's hash
   * @param endpoint where it ran
   */
  void moved(final long chat, final EndpointId endpoint) {
    gate.recordMove(chat, endpoint, nowMs());
  }

  @Override
  void refreshReport() {
    report();
  }

  private AgedReport report() {
    final AgedReport report = new AgedReport(gate.report(nowMs()), 0);
    table().merge(report, nowMs());
    table().putInfo(info);
    return report;
  }

  /**
   * Takes an attempt, or refuses it.
   *
   * @param message the attempt
   */
  void dispatch(final ReplayDispatch message) {
    message.reports().forEach(report -> table().merge(report, nowMs()));
    describeAll();
    report();
    final PoolStatistics pool =
        table()
            .statistics(
                replay().options().service().name(),
                EndpointTable.key(id()),
                replay().laggingList().size(),
                nowMs());
    switch (gate.offer(offer(message), pool)) {
      case AdmissionDecision.Refused refused ->
          message.request().refused(message.key().attempt(), refused, report());
      case AdmissionDecision.Admitted admitted -> {
        accepted.put(message.key(), new Accepted(message));
        message.request().accepted(message.key().attempt(), admitted.firstTokenInMs(), report());
        pump();
      }
    }
  }

  private Offer offer(final ReplayDispatch message) {
    final boolean enforced = replay().policy().enforced();
    final int expected =
        (int) (message.workClass().expectedOutputTokens() * replay().options().estimateFactor());
    return new Offer(
        message.key(),
        enforced ? new OrganisationId(message.chat().organisation()) : ANYBODY,
        enforced ? message.workClass() : ANY_CLASS,
        message.chat().chatHash(),
        message.chat().promptTokens() + message.continuationTokens(),
        expected - message.continuationTokens(),
        message.cacheExpected(),
        nowMs(),
        enforced ? nowMs() + message.firstTokenMs() : NEVER_MS);
  }

  private void pump() {
    Optional<WorkItem> next = gate.startNext(nowMs());
    while (next.isPresent()) {
      start(accepted.get(next.get().key()));
      next = gate.startNext(nowMs());
    }
    pastLoads.addLast(new PastLoad(nowMs(), gate.inFlight()));
    while (pastLoads.size() > 2
        && pastLoads.getFirst().timeMs() < nowMs() - 2 * replay().options().reportLagMs()) {
      pastLoads.removeFirst();
    }
  }

  private void start(final Accepted entry) {
    final ReplayDispatch message = entry.message();
    entry.run =
        new EngineRun(
            message.key(),
            message.chat().chatHash(),
            message.chat().promptTokens() + message.continuationTokens(),
            Math.max(1, message.chat().outputTokens() - message.continuationTokens()),
            replay().policy().enforced() ? message.workClass().priority() : 0);
    entry.startedMs = nowMs();
    replay().result().countStart();
    final long importMs = importMs(message);
    if (importMs == 0) {
      engine.start(entry.run);
      return;
    }
    replay().queue().schedule(importMs, () -> startImported(entry));
  }

  /** Computes how long it takes to bring a chat's cache here, zero if that is not worth it. */
  private long importMs(final ReplayDispatch message) {
    if (message.cacheAt() == null || !replay().policy().enforced()) {
      return 0;
    }
    final int there = replay().endpoint(message.cacheAt()).engine.cached(message.chat().chatHash());
    final int here = engine.cached(message.chat().chatHash());
    if (!CacheTransferPolicy.isWorthwhile(there - here)) {
      return 0;
    }
    return Math.round(IMPORT_OVERHEAD_MS + there / IMPORT_TOKENS_PER_MS);
  }

  private void startImported(final Accepted entry) {
    if (!alive || !accepted.containsKey(entry.message().key())) {
      return;
    }
    final long chat = entry.message().chat().chatHash();
    engine.store(chat, replay().endpoint(entry.message().cacheAt()).engine.cached(chat));
    engine.start(entry.run);
  }

  @Override
  public void token(final EngineRun run, final double intervalMs) {
    if (!alive) {
      return;
    }
    final Accepted entry = accepted.get(run.key());
    gate.recordToken(run.key(), intervalMs, nowMs());
    if (run.generated() > 1) {
      replay().result().countTokenInterval(intervalMs);
    }
    entry.pendingTokens++;
    final boolean due =
        entry.parts == 0 || entry.pendingTokens >= TOKENS_PER_PART || run.isFinished();
    if (due) {
      entry.message().request().part(run.key().attempt(), entry.parts, entry.pendingTokens);
      entry.parts++;
      entry.pendingTokens = 0;
    }
  }

  @Override
  public void finished(final EngineRun run) {
    if (!alive) {
      return;
    }
    final Accepted entry = accepted.remove(run.key());
    gate.finish(run.key(), run.promptTokens() + run.outputTokens(), nowMs());
    if (!listed && replay().policy().enforced()) {
      handOver(List.of(run.chat()));
    }
    entry.endedMs = nowMs();
    ended.put(run.key(), entry);
    replay().result().countWork(work(run), true);
    entry
        .message()
        .request()
        .ended(
            run.key().attempt(),
            entry.parts,
            new AnswerSummary(
                200, "", run.promptTokens(), run.cachedTokens(), run.outputTokens(), "stop", false),
            report());
    pump();
  }

  private static long work(final EngineRun run) {
    return run.promptTokens() - run.cachedTokens() + run.generated();
  }

  /**
   * Takes note that an answer reached its caller.
   *
   * @param key the attempt
   * @param late whether it came too late
   */
  void wasUseful(final AttemptKey key, final boolean late) {
    final Accepted entry = ended.remove(key);
    if (entry != null && !late) {
      replay()
          .result()
          .countUsefulTime(
              replay().traceTimeMs(entry.startedMs), replay().traceTimeMs(entry.endedMs));
    }
  }

  /**
   * Stops an attempt, or keeps it from starting.
   *
   * @param key the attempt
   * @return true if it was not started and never will be
   */
  boolean cancel(final AttemptKey key) {
    if (!alive) {
      return false;
    }
    if (gate.cancelQueued(key)) {
      accepted.remove(key);
      return true;
    }
    final Accepted entry = accepted.remove(key);
    if (entry != null) {
      engine.stop(entry.run);
      gate.finish(key, 0, nowMs());
      replay().result().countWork(work(entry.run), false);
      pump();
    }
    return false;
  }

  /** Refuses what has waited too long. */
  void tick() {
    for (final WorkItem item : gate.expire(nowMs())) {
      final Accepted entry = accepted.remove(item.key());
      entry
          .message()
          .request()
          .refused(
              item.key().attempt(),
              new AdmissionDecision.Refused(RefusalKind.DEADLINE_UNREACHABLE, 0, null, 0),
              report());
    }
    pump();
  }

  /** An attempt that was accepted. */
  private static final class Accepted {

    private final ReplayDispatch message;
    private EngineRun run;
    private long startedMs;
    private long endedMs;
    private int parts;
    private int pendingTokens;

    private Accepted(final ReplayDispatch message) {
      this.message = message;
    }

    private ReplayDispatch message() {
      return message;
    }
  }

  /**
   * Remembers a load.
   *
   * @param timeMs when, in milliseconds
   * @param requests how many requests were queued or running
   */
  private record PastLoad(long timeMs, int requests) {}
}
