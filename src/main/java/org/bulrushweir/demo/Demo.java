package org.bulrushweir.demo;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.random.RandomGenerator;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.bulrushweir.gateway.GatewayService;
import org.bulrushweir.standin.DirectEndpointStandIn;
import org.bulrushweir.standin.EndpointFault;
import org.bulrushweir.standin.PlatformFaults;
import org.bulrushweir.standin.StandInStream;

/** Plays returning chats and bookings through a small fleet, with a fault midway, and reports. */
public final class Demo {

  /** How long gateways may take to stop, in milliseconds; no balancer has to notice. */
  private static final long GRACE_MS = 1_000;

  private static final int GATEWAYS = 2;
  private static final int ENGINES = 3;
  private static final int ORDER_ENDPOINTS = 2;
  private static final int CHATS = 20;
  private static final int PERCENT = 100;
  private static final long MAX_LATENCY_MS = 60_000;
  private static final int MEDIAN = 50;
  private static final int TAIL = 99;

  private final Histogram chatLatency = new ConcurrentHistogram(MAX_LATENCY_MS, 2);
  private final Histogram callLatency = new ConcurrentHistogram(MAX_LATENCY_MS, 2);
  private final PrintStream output;
  private final RandomGenerator random;

  /**
   * Creates a demo.
   *
   * @param output takes progress and the report
   * @param random draws the requests
   */
  public Demo(final PrintStream output, final RandomGenerator random) {
    this.output = output;
    this.random = random;
  }

  /**
   * Runs the demo.
   *
   * @param requests how many requests are sent
   * @param log takes the gateways' logs
   * @return true if no booking ran twice and nearly all requests were served
   */
  public boolean run(final int requests, final PrintStream log) {
    try (DemoFleet fleet = new DemoFleet(log, GRACE_MS);
        DemoCaller caller = new DemoCaller();
        ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor()) {
      final List<Integer> ports = start(fleet);
      awaitReady(caller, ports);
      output.println("fleet is ready: gateways at ports " + ports);
      final List<CompletableFuture<DemoAnswer>> answers = new ArrayList<>();
      for (int number = 0; number < requests; number++) {
        disturb(fleet, number, requests);
        final DemoCall call = draw(number);
        final int port = ports.get(number % ports.size());
        answers.add(CompletableFuture.supplyAsync(() -> send(caller, port, call), executor));
        pause();
      }
      return report(fleet, answers.stream().map(CompletableFuture::join).toList());
    }
  }

  private List<Integer> start(final DemoFleet fleet) {
    for (int number = 1; number <= ENGINES; number++) {
      fleet.startEndpoint("engine-" + number, DemoFleet.ASSISTANT, new StandInStream(10, 20, 5));
    }
    for (int number = 1; number <= ORDER_ENDPOINTS; number++) {
      fleet.startEndpoint("orders-" + number, DemoFleet.ORDERS, null);
    }
    final List<Integer> ports = new ArrayList<>();
    for (int number = 1; number <= GATEWAYS; number++) {
      final GatewayService gateway = fleet.startGateway("gateway-" + number);
      ports.add(gateway.callersPort());
    }
    return ports;
  }

  private static void awaitReady(final DemoCaller caller, final List<Integer> ports) {
    for (final int port : ports) {
      int number = 0;
      while (!caller.send(port, DemoCall.lookup("ready-" + port + '-' + number)).served()) {
        number++;
        pause();
      }
    }
  }

  private static void pause() {
    try {
      Thread.sleep(10);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private DemoCall draw(final int number) {
    final String id = "request-" + number;
    return switch (random.nextInt(4)) {
      case 0 -> DemoCall.draft(id, random.nextInt(CHATS));
      case 1 -> DemoCall.review(id, random.nextInt(CHATS));
      case 2 -> DemoCall.lookup(id);
      default -> DemoCall.booking(id);
    };
  }

  /** Breaks an engine for a while, then the platform. */
  private void disturb(final DemoFleet fleet, final int number, final int requests) {
    final DirectEndpointStandIn engine = fleet.endpoints().values().iterator().next();
    if (number == requests / 3) {
      output.println("engine-1 resets its connections");
      engine.misbehaveAs(EndpointFault.RESET);
    }
    if (number == requests / 2) {
      output.println("engine-1 is sound again; the platform's store is down");
      engine.misbehaveAs(EndpointFault.NONE);
      fleet.platform().misbehaveAs(new PlatformFaults(true, false, 0, 0, 0, false));
    }
    if (number == requests * 2 / 3) {
      output.println("the platform's store is back");
      fleet.platform().misbehaveAs(PlatformFaults.NONE);
    }
  }

  private DemoAnswer send(final DemoCaller caller, final int port, final DemoCall call) {
    final DemoAnswer answer = caller.send(port, call);
    final Histogram latency = call.promptParts().isEmpty() ? callLatency : chatLatency;
    latency.recordValue(Math.min(MAX_LATENCY_MS, answer.totalMs()));
    return answer;
  }

  private boolean report(final DemoFleet fleet, final List<DemoAnswer> answers) {
    final long served = answers.stream().filter(DemoAnswer::served).count();
    final int mostRuns =
        fleet.endpoints().values().stream()
            .flatMap(endpoint -> endpoint.runs().values().stream())
            .mapToInt(Integer::intValue)
            .max()
            .orElse(0);
    output.printf("served %d of %d requests%n", served, answers.size());
    output.printf("most runs of one request at one endpoint: %d%n", mostRuns);
    output.printf(
        "chats: p50 %d ms, p99 %d ms; calls: p50 %d ms, p99 %d ms%n",
        chatLatency.getValueAtPercentile(MEDIAN),
        chatLatency.getValueAtPercentile(TAIL),
        callLatency.getValueAtPercentile(MEDIAN),
        callLatency.getValueAtPercentile(TAIL));
    fleet
        .endpoints()
        .forEach((id, endpoint) -> output.printf("%s ran %d%n", id, endpoint.runs().size()));
    return mostRuns <= 1 && served * PERCENT >= answers.size() * 80L;
  }
}
