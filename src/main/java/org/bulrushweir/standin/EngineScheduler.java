package org.bulrushweir.standin;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import org.bulrushweir.api.Clock;
import org.bulrushweir.engine.EngineProtocol;

/** Generates tokens for all running requests step by step, as continuous batching does. */
final class EngineScheduler implements Runnable {

  private final List<EngineRun> waiting = new ArrayList<>();
  private final List<EngineRun> running = new ArrayList<>();
  private final Deque<TimedReport> reports = new ArrayDeque<>();
  private final EngineOptions options;
  private final PrefixCache cache;
  private final Clock clock;
  private double slowFactor = 1;
  private int peakRunning;

  /**
   * Creates the scheduler.
   *
   * @param options the engine's options
   * @param cache the engine's cache
   * @param clock the clock
   */
  EngineScheduler(final EngineOptions options, final PrefixCache cache, final Clock clock) {
    this.options = options;
    this.cache = cache;
    this.clock = clock;
  }

  /**
   * Adds a request.
   *
   * @param run the request's run
   */
  synchronized void add(final EngineRun run) {
    waiting.add(run);
    notifyAll();
  }

  /**
   * Slows the engine down.
   *
   * @param factor how many times longer each step takes
   */
  synchronized void slowDown(final double factor) {
    slowFactor = factor;
  }

  /**
   * Returns the greatest number of requests that were generated at once.
   *
   * @return the number
   */
  synchronized int peakRunning() {
    return peakRunning;
  }

  /**
   * Returns the load as it was some time ago.
   *
   * @return the lagging report
   */
  synchronized EngineProtocol.LoadReport laggingLoad() {
    final long visibleMs = clock.nowMs() - options.loadLagMs();
    EngineProtocol.LoadReport visible = new EngineProtocol.LoadReport(0, 0, 0);
    for (final TimedReport report : reports) {
      if (report.timeMs() > visibleMs) {
        break;
      }
      visible =
          new EngineProtocol.LoadReport(
              report.running(), report.waiting(), clock.nowMs() - report.timeMs());
    }
    return visible;
  }

  @Override
  public void run() {
    try {
      while (!Thread.currentThread().isInterrupted()) {
        Thread.sleep(step());
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /**
   * Advances all requests by one step.
   *
   * @return how long the step takes, in milliseconds
   * @throws InterruptedException if the thread is interrupted
   */
  synchronized long step() throws InterruptedException {
    while (waiting.isEmpty() && running.isEmpty()) {
      report();
      wait();
    }
    waiting.removeIf(EngineRun::cancelled);
    waiting.sort(Comparator.comparingInt(EngineRun::priority));
    while (!waiting.isEmpty() && running.size() < options.slots()) {
      final EngineRun next = waiting.removeFirst();
      next.start(cache);
      running.add(next);
    }
    peakRunning = Math.max(peakRunning, running.size());
    for (final EngineRun run : running) {
      run.step(options.prefillTokensPerStep());
    }
    for (final EngineRun run : running) {
      if (run.finished()) {
        cache.store(run.blocksWithAnswer());
      }
    }
    running.removeIf(EngineRun::finished);
    report();
    return Math.round(options.stepMs() * slowFactor);
  }

  private void report() {
    final long nowMs = clock.nowMs();
    reports.addLast(new TimedReport(nowMs, running.size(), waiting.size()));
    final long oldestMs = nowMs - 2 * options.loadLagMs();
    while (reports.getFirst().timeMs() < oldestMs) {
      reports.removeFirst();
    }
  }

  /**
   * Remembers the load at some moment.
   *
   * @param timeMs when, in milliseconds
   * @param running requests being generated
   * @param waiting requests that wait
   */
  private record TimedReport(long timeMs, int running, int waiting) {}
}
