package org.bulrushweir.soak;

import java.util.concurrent.locks.ReentrantLock;
import java.util.function.LongConsumer;

/** Stops, kills, pauses and starts one gateway, also all at once. */
final class GatewayControl {

  /** How much longer than the grace period a process may take to end, in milliseconds. */
  private static final long END_SLACK_MS = 500;

  private static final long KILL_TIMEOUT_MS = 5_000;

  /** The memory that a process of these sizes may have, in kilobytes. */
  private static final long MAX_MEMORY_KB = 400_000;

  private final ReentrantLock lifecycle = new ReentrantLock();
  private final ProcessorWait processor = new ProcessorWait();
  private final SoakGateway gateway;
  private final Impairments impairments;
  private final Checker checker;
  private final int graceMs;
  private volatile boolean mayEnd = true;

  /** The last process that may have got a signal that ends it. */
  private volatile int signalledBoot;

  private volatile long maxMemoryKb;
  private volatile int starvedCount;
  private long inspectedAtMs;

  /**
   * Creates the control of a gateway that does not run yet.
   *
   * @param gateway the gateway
   * @param impairments takes its stops, kills and pauses
   * @param checker takes breaches
   * @param graceMs the time from SIGTERM to SIGKILL, in milliseconds
   */
  GatewayControl(
      final SoakGateway gateway,
      final Impairments impairments,
      final Checker checker,
      final int graceMs) {
    this.gateway = gateway;
    this.impairments = impairments;
    this.checker = checker;
    this.graceMs = graceMs;
  }

  SoakGateway gateway() {
    return gateway;
  }

  long maxMemoryKb() {
    return maxMemoryKb;
  }

  /** Returns in how many inspections the process had waited for a processor most of the time. */
  int starvedCount() {
    return starvedCount;
  }

  /** Stops the process with SIGTERM and starts another one; only signals if one is stopping. */
  void stop(final long pauseMs) throws InterruptedException {
    signalledBoot = gateway.boot();
    if (!lifecycle.tryLock()) {
      gateway.signal("TERM");
      return;
    }
    final LongConsumer stop = impairments.begin(Checker.stopOf(gateway.name()), checker.nowMs());
    try {
      mayEnd = true;
      final long sinceMs = checker.nowMs();
      gateway.signal("TERM");
      if (!gateway.awaitEnd(graceMs + END_SLACK_MS)) {
        if (!impairments.during(gateway.name(), sinceMs, checker.nowMs())) {
          checker.breach(Promise.PROCESS_LIFE, gateway.name() + " does not end after SIGTERM");
        }
        endAndStart("KILL", 0);
        return;
      }
      restart(pauseMs);
    } finally {
      stop.accept(checker.nowMs());
      lifecycle.unlock();
    }
  }

  /** Kills the process and starts another one; only kills if one is stopping. */
  void kill(final long pauseMs) throws InterruptedException {
    final LongConsumer impairment = impairments.begin(gateway.name(), checker.nowMs());
    signalledBoot = gateway.boot();
    try {
      if (!lifecycle.tryLock()) {
        gateway.signal("KILL");
        return;
      }
      try {
        mayEnd = true;
        endAndStart("KILL", pauseMs);
      } finally {
        lifecycle.unlock();
      }
    } finally {
      impairment.accept(checker.nowMs());
    }
  }

  private void endAndStart(final String signal, final long pauseMs) throws InterruptedException {
    final LongConsumer impairment = impairments.begin(gateway.name(), checker.nowMs());
    gateway.signal(signal);
    gateway.awaitEnd(KILL_TIMEOUT_MS);
    restart(pauseMs);
    impairment.accept(checker.nowMs());
  }

  private void restart(final long pauseMs) throws InterruptedException {
    Thread.sleep(pauseMs);
    start();
  }

  /** Starts the process, again if signals end it before it is ready. */
  void start() throws InterruptedException {
    final LongConsumer start = impairments.begin(Checker.stopOf(gateway.name()), checker.nowMs());
    try {
      startUntilReady();
    } finally {
      start.accept(checker.nowMs());
    }
  }

  private void startUntilReady() throws InterruptedException {
    for (int tries = 0; tries < 5; tries++) {
      try {
        gateway.start();
        mayEnd = false;
        return;
      } catch (InterruptedException e) {
        throw e;
      } catch (Exception e) {
        if (!impairments.during(gateway.name(), checker.nowMs() - 10_000, checker.nowMs())
            && !impairments.during(
                Checker.stopOf(gateway.name()), checker.nowMs() - 10_000, checker.nowMs())) {
          checker.breach(Promise.PROCESS_LIFE, gateway.name() + " does not start: " + e);
        }
      }
    }
  }

  /** Pauses the process. */
  void pause(final long lengthMs) throws InterruptedException {
    final LongConsumer impairment = impairments.begin(gateway.name(), checker.nowMs());
    gateway.signal("STOP");
    Thread.sleep(lengthMs);
    gateway.signal("CONT");
    impairment.accept(checker.nowMs());
  }

  /** Sends SIGHUP, which changes nothing. */
  void hangUp() {
    gateway.signal("HUP");
  }

  /** Checks that the process runs and that its memory is bounded. */
  void inspect() throws InterruptedException {
    if (!mayEnd && !gateway.isAlive() && lifecycle.tryLock()) {
      try {
        if (!mayEnd && !gateway.isAlive()) {
          if (signalledBoot != gateway.boot()) {
            checker.breach(Promise.PROCESS_LIFE, gateway.name() + " has ended by itself");
          }
          mayEnd = true;
          restart(0);
        }
      } finally {
        lifecycle.unlock();
      }
    }
    final long nowMs = checker.nowMs();
    if (gateway.pid() > 0 && processor.measure(gateway.pid(), 1, nowMs)) {
      starvedCount++;
      impairments.add(Checker.starving(gateway.name()), inspectedAtMs, nowMs);
    }
    inspectedAtMs = nowMs;
    final long memoryKb = gateway.memoryKb();
    if (memoryKb > MAX_MEMORY_KB) {
      checker.breach(Promise.BOUNDED_MEMORY, gateway.name() + " has " + memoryKb + " kB");
    }
    maxMemoryKb = Math.max(maxMemoryKb, memoryKb);
  }

  /** Waits until no stop or start is under way. */
  void awaitCalm() {
    lifecycle.lock();
    lifecycle.unlock();
  }
}
