package org.bulrushweir.replay;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.bulrushweir.simulation.EventQueue;

/** Models an engine that batches continuously and caches the prefixes of chats. */
final class EngineModel {

  /** The initial capacity of the cache's map. */
  private static final int INITIAL_CAPACITY = 64;

  /** The load factor of the cache's map. */
  private static final float LOAD_FACTOR = 0.75f;

  /** Hears what the engine generates. */
  interface Listener {

    /**
     * Hears of a token.
     *
     * @param run the run
     * @param intervalMs how long it took since the run's last token, zero for the first one
     */
    void token(EngineRun run, double intervalMs);

    /**
     * Hears of the end of a run.
     *
     * @param run the run
     */
    void finished(EngineRun run);
  }

  /** The cached tokens by chat, least recently used first. */
  private final LinkedHashMap<Long, Integer> cache =
      new LinkedHashMap<>(INITIAL_CAPACITY, LOAD_FACTOR, true);

  /** The runs under way. */
  private final List<EngineRun> running = new ArrayList<>();

  /** The virtual time. */
  private final EventQueue queue;

  /** How fast the engine is. */
  private final ReplayOptions.EngineSpeed speed;

  /** Hears what the engine generates. */
  private final Listener listener;

  /** How many tokens are cached. */
  private long cachedTokens;

  /** How many times longer everything takes. */
  private double slowFactor = 1;

  /** Whether a step is under way. */
  private boolean stepping;

  /** The part of a millisecond by which the last step ended too early. */
  private double remainderMs;

  /**
   * Creates an idle engine.
   *
   * @param queue the virtual time
   * @param speed how fast the engine is
   * @param listener hears what it generates
   */
  EngineModel(
      final EventQueue queue, final ReplayOptions.EngineSpeed speed, final Listener listener) {
    this.queue = queue;
    this.speed = speed;
    this.listener = listener;
  }

  void slowDown(final double factor) {
    slowFactor = factor;
  }

  int runningCount() {
    return running.size();
  }

  /**
   * Starts a run.
   *
   * @param run the run
   */
  void start(final EngineRun run) {
    run.cachedTokens(Math.min(run.promptTokens(), cache.getOrDefault(run.chat(), 0)));
    running.add(run);
    if (!stepping) {
      stepping = true;
      scheduleStep();
    }
  }

  /**
   * Stops a run.
   *
   * @param run the run
   */
  void stop(final EngineRun run) {
    running.remove(run);
  }

  private void scheduleStep() {
    final int prefill = prefillOfStep();
    final int decoding = (int) running.stream().filter(EngineRun::isDecoding).count();
    final double decodeMs =
        decoding == 0 ? 0 : speed.stepMs() * (1 + speed.stepGrowth() * (decoding - 1));
    final double stepMs =
        (decodeMs + prefill / speed.prefillTokensPerMs()) * slowFactor + remainderMs;
    final long wholeMs = Math.max(1, (long) stepMs);
    remainderMs = stepMs - wholeMs;
    queue.schedule(wholeMs, this::endStep);
  }

  private int prefillOfStep() {
    int left = speed.prefillTokensPerStep();
    final List<EngineRun> byPriority = new ArrayList<>(running);
    byPriority.sort(Comparator.comparingInt(EngineRun::priority));
    for (final EngineRun run : byPriority) {
      left -= run.planPrefill(left);
    }
    return speed.prefillTokensPerStep() - left;
  }

  private void endStep() {
    final List<EngineRun> finished = new ArrayList<>();
    for (final EngineRun run : List.copyOf(running)) {
      if (run.step(queue.nowMs())) {
        listener.token(run, run.lastIntervalMs());
      }
      if (run.isFinished()) {
        finished.add(run);
      }
    }
    for (final EngineRun run : finished) {
      running.remove(run);
      store(run.chat(), run.promptTokens() + run.outputTokens());
      listener.finished(run);
    }
    if (running.isEmpty()) {
      stepping = false;
      return;
    }
    scheduleStep();
  }

  /**
   * Caches a chat, evicting those used longest ago.
   *
   * @param chat the chat's hash
   * @param tokens how many tokens it has
   */
  void store(final long chat, final int tokens) {
    final Integer before = cache.put(chat, tokens);
    cachedTokens += tokens - (before == null ? 0 : before);
    final Iterator<Map.Entry<Long, Integer>> eldest = cache.entrySet().iterator();
    while (cachedTokens > speed.cacheTokens() && eldest.hasNext()) {
      cachedTokens -= eldest.next().getValue();
      eldest.remove();
    }
  }

  int cached(final long chat) {
    return cache.getOrDefault(chat, 0);
  }
}
