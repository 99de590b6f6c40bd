package org.bulrushweir.replay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.SplittableRandom;
import org.bulrushweir.api.AttemptKey;
import org.bulrushweir.api.EndpointId;
import org.bulrushweir.api.NodeId;
import org.bulrushweir.api.RequestId;
import org.bulrushweir.api.ServiceName;
import org.bulrushweir.api.ZoneName;
import org.bulrushweir.balancing.AttemptOutcome;
import org.bulrushweir.balancing.EndpointSelector;
import org.bulrushweir.balancing.EndpointTracker;
import org.bulrushweir.balancing.PeerReport;
import org.bulrushweir.balancing.PlacementSnapshot;
import org.bulrushweir.balancing.PromptSegment;
import org.bulrushweir.balancing.RequestProfile;
import org.bulrushweir.balancing.SelectorSettings;
import org.bulrushweir.balancing.StatedLoad;
import org.bulrushweir.catalog.EndpointDirectory;
import org.bulrushweir.catalog.EndpointRecord;
import org.bulrushweir.simulation.EventQueue;

/**
 * Plays long prompts on shared documents and short prompts through several gateways to modelled
 * engines. The gateways exchange their loads late.
 */
final class PromptMix implements EngineModel.Listener {

  private static final ServiceName SERVICE = new ServiceName("assistant");
  private static final ZoneName ZONE = new ZoneName("zone-1");
  private static final long START_MS = 10_000;
  private static final long REPORT_INTERVAL_MS = 200;
  private static final long REPORT_DELAY_MS = 100;
  private static final double SLOW_PACE = 2.5;
  private static final int SLOW_MS = 600;
  private static final double SLOW_STARTS_PER_MS = 0.15 / 0.85 / SLOW_MS;
  private static final int RANK = 1;

  /**
   * A load.
   *
   * @param engines the number of engines
   * @param gateways the number of gateways
   * @param prefillTokensPerMs the speed of the engines
   * @param longPerMs the long prompts per millisecond
   * @param shortPerMs the short prompts per millisecond
   * @param documents the number of documents that long prompts share
   * @param longTargetMs the target of long prompts
   * @param shortTargetMs the target of short prompts
   */
  record Load(
      int engines,
      int gateways,
      double prefillTokensPerMs,
      double longPerMs,
      double shortPerMs,
      int documents,
      long longTargetMs,
      long shortTargetMs) {}

  /** An engine and what it has cached. */
  private static final class Engine {
    private EngineModel model;
    private final Set<Long> cached = new HashSet<>();
    private double pace = 1;
  }

  /** A prompt under way. */
  private record Sent(
      RequestProfile profile,
      EndpointRecord endpoint,
      EndpointTracker tracker,
      PlacementSnapshot placement,
      Engine engine,
      boolean isLong,
      long arrivedMs) {}

  int longMet;
  int longCount;
  int shortMet;
  int shortCount;
  long promptTokens;
  long prefilledTokens;
  private final EventQueue queue = new EventQueue(START_MS);
  private final EndpointDirectory directory = new EndpointDirectory();
  private final Map<EndpointId, Engine> engines = new HashMap<>();
  private final List<EndpointTracker> trackers = new ArrayList<>();
  private final List<EndpointSelector> selectors = new ArrayList<>();
  private final Map<AttemptKey, Sent> sent = new HashMap<>();
  private final Load load;
  private final boolean stated;
  private final SplittableRandom random;
  private long sequence;

  /**
   * Creates idle engines and gateways.
   *
   * @param load the load
   * @param stated whether the gateways select by stated load
   * @param seed decides what is random
   */
  PromptMix(final Load load, final boolean stated, final long seed) {
    this.load = load;
    this.stated = stated;
    this.random = new SplittableRandom(seed);
    for (int number = 0; number < load.engines(); number++) {
      final EndpointId id = new EndpointId("e" + number);
      directory.put(new EndpointRecord(id, SERVICE, "10.0.0.1", 80, ZONE, 64, false, 1));
      final Engine engine = new Engine();
      engine.model =
          new EngineModel(
              queue,
              new ReplayOptions.EngineSpeed(10, 0.01, load.prefillTokensPerMs(), 2_048, 1_000_000),
              this);
      engines.put(id, engine);
      queue.schedule(random.nextInt(4_000), () -> slowDown(engine));
    }
    for (int number = 0; number < load.gateways(); number++) {
      final EndpointTracker tracker =
          new EndpointTracker(directory, service -> 400_000, load.prefillTokensPerMs());
      trackers.add(tracker);
      selectors.add(
          new EndpointSelector(
              tracker, ZONE, new SelectorSettings(2, load.prefillTokensPerMs(), stated)));
    }
  }

  private void slowDown(final Engine engine) {
    engine.pace = SLOW_PACE;
    engine.model.slowDown(SLOW_PACE);
    queue.schedule(
        SLOW_MS,
        () -> {
          engine.pace = 1;
          engine.model.slowDown(1);
          final double pauseMs = -Math.log(1 - random.nextDouble()) / SLOW_STARTS_PER_MS;
          queue.schedule((long) pauseMs, () -> slowDown(engine));
        });
  }

  /**
   * Plays the load; the first two seconds warm the caches and are not counted.
   *
   * @param durationMs how long, in milliseconds
   * @return this
   */
  PromptMix play(final long durationMs) {
    for (long atMs = 0; atMs < durationMs; atMs += REPORT_INTERVAL_MS) {
      queue.schedule(atMs, this::exchangeReports);
    }
    arrive(load.longPerMs(), durationMs, true);
    arrive(load.shortPerMs(), durationMs, false);
    queue.runUntil(START_MS + durationMs + 5_000);
    return this;
  }

  private void arrive(final double perMs, final long durationMs, final boolean isLong) {
    for (int number = 0; number < perMs * durationMs; number++) {
      final int current = number;
      queue.schedule(random.nextLong(durationMs), () -> request(current, isLong));
    }
  }

  private void exchangeReports() {
    sequence++;
    final List<PeerReport> reports = new ArrayList<>();
    for (int from = 0; from < trackers.size(); from++) {
      reports.add(
          new PeerReport(
              new NodeId("gateway-" + from),
              1,
              sequence,
              1,
              trackers.get(from).ownLoads(),
              trackers.get(from).drainPlacements()));
    }
    queue.schedule(
        REPORT_DELAY_MS,
        () -> {
          for (int to = 0; to < trackers.size(); to++) {
            for (int from = 0; from < trackers.size(); from++) {
              if (from != to) {
                trackers.get(to).applyPeerReport(reports.get(from), queue.nowMs());
              }
            }
          }
        });
  }

  private List<PromptSegment> prompt(final int number, final boolean isLong) {
    final long own = 1_000_000L + 2L * number + (isLong ? 1 : 0);
    if (!isLong) {
      return List.of(new PromptSegment(1 + number % 3, 213), new PromptSegment(own, 500));
    }
    final int document = random.nextInt(load.documents());
    return List.of(
        new PromptSegment(11 + document % 3, 512),
        new PromptSegment(1_000 + document, 8_000),
        new PromptSegment(own, 688));
  }

  private void request(final int number, final boolean isLong) {
    final long nowMs = queue.nowMs();
    final int gateway = random.nextInt(trackers.size());
    final EndpointTracker tracker = trackers.get(gateway);
    final List<PromptSegment> prompt = prompt(number, isLong);
    final long targetMs = isLong ? load.longTargetMs() : load.shortTargetMs();
    final int output = 40 + random.nextInt(isLong ? 160 : 80);
    final RequestProfile profile = new RequestProfile(SERVICE, prompt, output, nowMs + targetMs);
    final EndpointSelector selector = selectors.get(gateway);
    final EndpointId chosen =
        selector.choose(profile, random.nextLong(), Set.of(), nowMs).orElseThrow();
    final Optional<EndpointRecord> source = tracker.cacheSource(chosen, prompt, nowMs);
    final PlacementSnapshot placement =
        tracker.recordAttempt(chosen, prompt, source, profile.heldTokens(), nowMs);
    final Sent entry =
        new Sent(
            profile,
            directory.find(chosen).orElseThrow(),
            tracker,
            placement,
            engines.get(chosen),
            isLong,
            nowMs);
    queue.schedule(placement.awaitMs(), () -> send(entry, source, selector, output, number));
  }

  private void send(
      final Sent entry,
      final Optional<EndpointRecord> source,
      final EndpointSelector selector,
      final int output,
      final int number) {
    final Set<Long> cached = new HashSet<>(entry.engine().cached);
    source.ifPresent(from -> cached.addAll(engines.get(from.id()).cached));
    long prefill = 0;
    for (final PromptSegment segment : entry.profile().prompt()) {
      // Segments after a missing one can't be used.
      prefill += prefill > 0 || !cached.contains(segment.id()) ? segment.tokens() : 0;
    }
    promptTokens += PromptSegment.tokens(entry.profile().prompt());
    prefilledTokens += prefill;
    final int rank = selector.engineRank(RANK, entry.profile(), entry.placement(), queue.nowMs());
    final AttemptKey key = new AttemptKey(new RequestId(2L * number + (entry.isLong() ? 1 : 0)), 1);
    sent.put(key, entry);
    entry.engine().model.start(new EngineRun(key, number, (int) prefill, output, rank));
  }

  @Override
  public void token(final EngineRun run, final double intervalMs) {
    final Sent entry = sent.get(run.key());
    if (run.generated() != 1) {
      return;
    }
    final long nowMs = queue.nowMs();
    for (final PromptSegment segment : entry.profile().prompt()) {
      entry.engine().cached.add(segment.id());
    }
    entry
        .tracker()
        .recordPrefillEnd(
            entry.endpoint().id(),
            entry.placement().startedAtMs(),
            entry.profile().prompt(),
            entry.placement().prefillTokens(),
            nowMs);
    entry
        .tracker()
        .observations()
        .recordStated(
            entry.endpoint(),
            new StatedLoad(0, 0, 64, OptionalDouble.of(entry.engine().pace)),
            nowMs);
    if (entry.arrivedMs() < START_MS + 2_000) {
      return;
    }
    final boolean met = nowMs <= entry.profile().targetAtMs();
    if (entry.isLong()) {
      longCount++;
      longMet += met ? 1 : 0;
    } else {
      shortCount++;
      shortMet += met ? 1 : 0;
    }
  }

  @Override
  public void finished(final EngineRun run) {
    final Sent entry = sent.remove(run.key());
    entry
        .tracker()
        .recordOutcome(
            entry.endpoint().id(),
            entry.placement().startedAtMs(),
            0,
            entry.placement().heldTokens(),
            AttemptOutcome.ANSWERED,
            queue.nowMs());
  }

  double longShare() {
    return (double) longMet / longCount;
  }

  double shortShare() {
    return (double) shortMet / shortCount;
  }

  double cachedShare() {
    return 1 - (double) prefilledTokens / promptTokens;
  }

  @Override
  public String toString() {
    return "%s: long %.4f short %.4f cached %.4f"
        .formatted(stated ? "stated" : "today", longShare(), shortShare(), cachedShare());
  }
}
