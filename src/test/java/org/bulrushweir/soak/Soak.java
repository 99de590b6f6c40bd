package org.bulrushweir.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.stream.Collectors;
import org.bulrushweir.kernel.SystemClock;
import org.bulrushweir.standin.PlatformStandIn;

/** Runs gateways with callers, endpoints and a store, injects faults and checks the promises. */
final class Soak implements AutoCloseable {

  private static final int GRACE_MS = 8_000;

  /** How long requests may go unserved after the last fault, in milliseconds. */
  private static final long RECOVERY_MS = 12_000;

  /** How long after the last answer a request may still run in breach, in milliseconds. */
  private static final long LATE_RUN_MS = 1_000;

  private static final long INSPECTION_MS = 100;
  private static final long WINDOW_MS = 1_000;

  /** An inspection that comes so late shows that the soak got no processor, in milliseconds. */
  private static final long STALL_MS = 400;

  /** How far from a breach steps are printed, in milliseconds. */
  private static final long AROUND_MS = 4_000;

  private static final List<String> SERVICES = List.of("orders", "stock", "assistant");

  private final SoakClock clock = new SoakClock();
  private final History history = new History();
  private final Impairments impairments = new Impairments();
  private final PlatformStandIn platform =
      new PlatformStandIn("127.0.0.1", 0, new SystemClock(), 0);
  private final Configurations configurations = new Configurations(platform);
  private final Checker checker = new Checker(history, configurations, impairments, clock);
  private final List<GatewayControl> gateways = new ArrayList<>();
  private final List<FaultProxy> storeLinks = new ArrayList<>();
  private final List<SoakEndpoint> endpoints = new ArrayList<>();
  private final List<SoakCaller> callers = new ArrayList<>();
  private final List<Thread> threads = new ArrayList<>();
  private final AtomicBoolean ended = new AtomicBoolean();
  private final SoakOptions options;
  private final Path directory;
  private final List<Step> steps;
  private volatile long injectionStartMs;
  private volatile int starvedCount;

  /**
   * Prepares a soak.
   *
   * @param options what it is like
   * @param directory takes settings and logs
   * @throws IOException if no port can be bound
   */
  Soak(final SoakOptions options, final Path directory) throws IOException {
    this.options = options;
    this.directory = directory;
    this.steps = Schedule.draw(options);
    Files.createDirectories(directory);
    configurations.write(SERVICES.getFirst(), clock);
    for (int number = 1; number <= options.endpoints(); number++) {
      endpoints.add(
          new SoakEndpoint(
              "e" + number,
              SERVICES.get(number % SERVICES.size()),
              platform,
              checker,
              history,
              options.seed() + number));
    }
    for (int number = 1; number <= options.gateways(); number++) {
      final FaultProxy link = new FaultProxy(platform.port());
      storeLinks.add(link);
      gateways.add(
          new GatewayControl(gateway("g" + number, link.port()), impairments, checker, GRACE_MS));
    }
    final List<SoakGateway> targets = gateways.stream().map(GatewayControl::gateway).toList();
    for (int number = 1; number <= options.callers(); number++) {
      callers.add(
          new SoakCaller(
              "c" + number,
              targets,
              configurations,
              history,
              checker,
              options.seed() * 1_000 + number));
    }
  }

  private SoakGateway gateway(final String name, final int storePort) throws IOException {
    return options.sabotage() == Sabotage.NO_SABOTAGE
        ? new GatewayProcess(name, directory, storePort, GRACE_MS)
        : new BrokenGateway(name, options.sabotage(), configurations, endpoints);
  }

  /**
   * Runs it to its end.
   *
   * @return the promises that were broken
   * @throws Exception if it can't be run
   */
  List<Breach> run() throws Exception {
    for (final GatewayControl gateway : gateways) {
      threads.add(Thread.ofVirtual().start(() -> quietly(gateway::start)));
    }
    joinAll();
    callers.forEach(caller -> threads.add(Thread.ofVirtual().start(caller)));
    final Thread inspector = Thread.ofVirtual().start(() -> quietly(this::inspect));
    inject();
    awaitRecovery();
    ended.set(true);
    inspector.join();
    callers.forEach(SoakCaller::stop);
    joinAll();
    Thread.sleep(LATE_RUN_MS);
    checker.checkRefusedLater();
    Files.write(directory.resolve("schedule.txt"), steps.stream().map(Step::toString).toList());
    Files.write(directory.resolve("report.txt"), List.of(report()));
    return checker.breaches();
  }

  private void joinAll() throws InterruptedException {
    for (final Thread thread : threads) {
      thread.join();
    }
    threads.clear();
  }

  private void inject() throws InterruptedException {
    final Injector injector =
        new Injector(
            gateways,
            endpoints,
            storeLinks,
            platform,
            configurations,
            impairments,
            clock,
            options.stuttering());
    injectionStartMs = clock.nowMs();
    final long startMs = injectionStartMs;
    final List<Thread> running = new ArrayList<>();
    for (final Step step : steps) {
      Thread.sleep(Math.max(0, startMs + step.atMs() - clock.nowMs()));
      running.add(Thread.ofVirtual().start(() -> quietly(() -> injector.perform(step))));
    }
    Thread.sleep(Math.max(0, startMs + options.lengthMs() - clock.nowMs()));
    for (final Thread thread : running) {
      thread.join();
    }
  }

  /** Waits until most requests are served again. */
  private void awaitRecovery() throws InterruptedException {
    gateways.forEach(GatewayControl::awaitCalm);
    final long limitMs = clock.nowMs() + RECOVERY_MS;
    while (clock.nowMs() < limitMs) {
      final int sent = history.requestCount();
      final int served = checker.served();
      Thread.sleep(WINDOW_MS);
      if (2 * (checker.served() - served) > history.requestCount() - sent
          && checker.served() > served) {
        return;
      }
    }
    checker.breach(Promise.RECOVERY, "less than half of the requests are served");
  }

  private void inspect() throws InterruptedException {
    final ProcessorWait processor = new ProcessorWait();
    long inspectedAtMs = clock.nowMs();
    while (!ended.get()) {
      final long nowMs = clock.nowMs();
      if (isStarved(processor, nowMs, nowMs - inspectedAtMs)) {
        starvedCount++;
        impairments.add(Checker.starving(Checker.SOAK), inspectedAtMs, nowMs);
      }
      inspectedAtMs = nowMs;
      for (final GatewayControl gateway : gateways) {
        gateway.inspect();
      }
      Thread.sleep(INSPECTION_MS);
    }
  }

  /**
   * Broken gateways are judged strictly: a broken promise must be noticed on a busy machine too.
   */
  private boolean isStarved(
      final ProcessorWait processor, final long nowMs, final long sinceInspectionMs) {
    final int processors = Runtime.getRuntime().availableProcessors();
    final boolean waits =
        processor.measure(ProcessHandle.current().pid(), processors, nowMs)
            || sinceInspectionMs > STALL_MS;
    return waits && options.sabotage().broken() == null;
  }

  /** Returns what was seen, with the steps around each breach. */
  String report() {
    final long memoryKb = gateways.stream().mapToLong(GatewayControl::maxMemoryKb).max().orElse(0);
    final String found =
        checker.breaches().stream()
            .map(breach -> breach + "\n" + stepsAround(breach.atMs()))
            .collect(Collectors.joining("\n"));
    return ("soak with seed %d: %d steps, %d requests, %d repeated answers, "
            + "%s, %s, starved inspections %d of gateways and %d of the soak, "
            + "most memory %d kB, %d breaches%n%s")
        .formatted(
            options.seed(),
            steps.size(),
            history.requestCount(),
            history.copies(),
            checker.counts(),
            configurations.versions().size() + " versions",
            gateways.stream().mapToInt(GatewayControl::starvedCount).sum(),
            starvedCount,
            memoryKb,
            checker.breaches().size(),
            found);
  }

  private String stepsAround(final long atMs) {
    return steps.stream()
        .filter(step -> Math.abs(step.atMs() + injectionStartMs - atMs) < AROUND_MS)
        .map(step -> "    " + step)
        .collect(Collectors.joining("\n"));
  }

  private static void quietly(final Interruptible action) {
    try {
      action.run();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Something that can be interrupted. */
  @FunctionalInterface
  private interface Interruptible {

    void run() throws InterruptedException;
  }

  @Override
  public void close() throws IOException {
    ended.set(true);
    callers.forEach(SoakCaller::stop);
    for (final GatewayControl gateway : gateways) {
      gateway.gateway().close();
    }
    for (final FaultProxy link : storeLinks) {
      link.close();
    }
    for (final SoakEndpoint endpoint : endpoints) {
      endpoint.close();
    }
    platform.close();
  }
}
