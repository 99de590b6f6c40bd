package org.bulrushweir.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.io.Resources;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.LongStream;
import org.bulrushweir.kernel.SystemClock;
import org.bulrushweir.platform.RoutingPlanDecoder;
import org.bulrushweir.standin.PlatformFaults;
import org.bulrushweir.standin.PlatformStandIn;
import org.bulrushweir.store.SharedTable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Tests what callers of a gateway process get that keep on sending while it stops. Further seeds:
 * {@code -Dbulrushweir.seed=FIRST -Dbulrushweir.seeds=COUNT}.
 */
class GatewayStopLoadProcessTest {

  private static final long GRACE_MS = 8_000;

  /** The time from which the users' page excuses a response that is cut off. */
  private static final long LAST_SIXTH_MS = GRACE_MS * 5 / 6;

  /** The time of the signal up to which a request may be cut off in the last sixth. */
  private static final long EARLY_MS = 3_000;

  /** The time within which a request that is not passed on may cross a close. */
  private static final long CROSSING_MS = 200;

  /** The time before the last sixth in which a stop that ends too early breaks requests off. */
  private static final long BREAK_OFF_MS = 300;

  private static final long WARM_UP_MS = 1_500;

  @TempDir private Path directory;
  private final Map<String, EndpointRun> runs = new ConcurrentHashMap<>();
  private final List<AutoCloseable> opened = new ArrayList<>();
  private PlatformStandIn platform;
  private BinaryProcess gateway;
  private int port;
  private int statusPort;

  @BeforeEach
  void start() throws Exception {
    platform = new PlatformStandIn("127.0.0.1", 0, new SystemClock(), 0);
    opened.add(platform);
    platform.put(
        SharedTable.CONFIGURATION,
        RoutingPlanDecoder.ROW_KEY,
        Resources.toString(
            Resources.getResource("stop/configuration.json"), StandardCharsets.UTF_8));
    opened.add(new TimedEndpoint(platform, "orders-1", "orders", 200, runs));
    opened.add(new TimedEndpoint(platform, "orders-2", "orders", 200, runs));
    opened.add(new TimedEndpoint(platform, "queue-1", "queue", 1, runs));
    opened.add(new TimedEndpoint(platform, "assistant-1", "assistant", 200, runs));
    opened.add(new TimedEndpoint(platform, "assistant-2", "assistant", 200, runs));
    registerEndpointThatNeverAccepts();
    port = FreePort.find();
    statusPort = FreePort.find();
    gateway =
        BinaryProcess.start(
            directory.resolve("gateway.log"), "gateway", "--settings", settings().toString());
    opened.add(gateway);
  }

  private void registerEndpointThatNeverAccepts() throws Exception {
    final ServerSocket full = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    opened.add(full);
    opened.add(new Socket(full.getInetAddress(), full.getLocalPort()));
    opened.add(new Socket(full.getInetAddress(), full.getLocalPort()));
    TimedEndpoint.register(platform, "orders-3", "orders", full.getLocalPort());
  }

  private Path settings() throws Exception {
    return Files.writeString(
        directory.resolve("gateway.toml"),
        """
        node = "gateway-1"
        availability_zone = "zone-1"
        grace_ms = %d
        [listen]
        callers = "127.0.0.1:%d"
        readiness = "127.0.0.1:%d"
        metrics = "127.0.0.1:%d"
        peers = "127.0.0.1:%d"
        [platform]
        url = "http://127.0.0.1:%d"
        """
            .formatted(
                GRACE_MS, port, statusPort, FreePort.find(), FreePort.find(), platform.port()));
  }

  @AfterEach
  void close() throws Exception {
    for (final AutoCloseable resource : opened.reversed()) {
      resource.close();
    }
  }

  private static LongStream seeds() {
    final long first = Long.getLong("bulrushweir.seed", 1);
    return LongStream.range(first, first + Long.getLong("bulrushweir.seeds", 1));
  }

  /** Guards against requests that are taken late in the grace period and cut off at its end. */
  @ParameterizedTest
  @MethodSource("seeds")
  void requestsSentDuringStopAreAnsweredOrNeverRun(final long seed) throws Exception {
    gateway.awaitPort();
    final StopLoad load = new StopLoad(port, seed);
    Thread.sleep(WARM_UP_MS);
    final long signalMs = System.currentTimeMillis();
    gateway.signal("TERM");
    awaitExit(signalMs, load, seed);
  }

  /** Guards against a stop that further signals or a store that is away delay or cut short. */
  @ParameterizedTest
  @MethodSource("seeds")
  void requestsAreAnsweredIfSignalsRepeatAndTheStoreIsAway(final long seed) throws Exception {
    gateway.awaitPort();
    final StopLoad load = new StopLoad(port, -seed);
    Thread.sleep(WARM_UP_MS);
    platform.misbehaveAs(new PlatformFaults(false, true, 0, 0, 0, false));
    final long signalMs = System.currentTimeMillis();
    gateway.signal("TERM");
    gateway.signal("HUP");
    gateway.signal("TERM");
    Thread.sleep(3_500);
    gateway.signal("INT");
    gateway.signal("HUP");
    gateway.signal("TERM");
    awaitExit(signalMs, load, seed);
  }

  @Test
  void stopRightAfterTheStartEndsInsideTheGracePeriod() throws Exception {
    gateway.awaitPort();
    final long signalMs = System.currentTimeMillis();
    gateway.signal("TERM");
    awaitExit(signalMs, new StopLoad(port, 1), 1);
  }

  private void awaitExit(final long signalMs, final StopLoad load, final long seed)
      throws Exception {
    assertTrue(
        gateway.awaitEnd(signalMs + GRACE_MS - System.currentTimeMillis()),
        "the gateway runs at the end of the grace period");
    final long exitMs = System.currentTimeMillis();
    final List<StopCall> calls = load.end();
    final List<String> faults = new ArrayList<>();
    calls.forEach(call -> check(call, signalMs, exitMs, faults));
    System.out.printf(
        "seed %d: exit after %d ms; %d requests, %s; %d faults%n",
        seed, exitMs - signalMs, calls.size(), summary(calls, signalMs), faults.size());
    assertEquals(List.of(), faults);
  }

  private Map<String, Integer> summary(final List<StopCall> calls, final long signalMs) {
    final Map<String, Integer> counts = new TreeMap<>();
    for (final StopCall call : calls) {
      final String when =
          call.sentMs() <= signalMs
              ? "before"
              : call.sentMs() <= signalMs + EARLY_MS ? "early" : "late";
      final String result = call.isWhole() ? Integer.toString(call.status()) : "cut";
      counts.merge(
          when + " " + result + (runs.containsKey(call.id()) ? "" : " not passed on"),
          1,
          Integer::sum);
    }
    return counts;
  }

  private void check(
      final StopCall call, final long signalMs, final long exitMs, final List<String> faults) {
    final EndpointRun run = runs.get(call.id());
    final int ran = run == null ? 0 : run.runs();
    final boolean late = call.sentMs() > signalMs + EARLY_MS;
    final String text = call + " (" + run + "), signal at " + signalMs + ", exit at " + exitMs;
    if (call.kind().isUnsafe() && ran > 1) {
      faults.add("ran twice: " + text);
    }
    if (!call.isWhole()) {
      checkCut(call, run, late, signalMs, text, faults);
      return;
    }
    if (call.status() == 503 && ran > 0) {
      faults.add("refused as not run, but ran: " + text);
    }
    if (call.status() == 200 && !call.hasRightBody()) {
      faults.add("wrong body: " + text);
    }
    if (call.status() == 502 && late && call.endMs() > signalMs + LAST_SIXTH_MS - BREAK_OFF_MS) {
      faults.add("taken late and broken off: " + text);
    }
    if (call.sentMs() > signalMs + CROSSING_MS
        && call.status() == 503
        && !call.id().startsWith("PIPELINED")
        && !call.hasAnnouncedClose()) {
      faults.add("refused on a connection that stays open: " + text);
    }
  }

  private static void checkCut(
      final StopCall call,
      final EndpointRun run,
      final boolean late,
      final long signalMs,
      final String text,
      final List<String> faults) {
    if (!call.isSent()) {
      return;
    }
    if (run == null) {
      if (call.endMs() - call.sentMs() > CROSSING_MS && !call.id().startsWith("PIPELINED")) {
        faults.add("read and not answered: " + text);
      }
      return;
    }
    final boolean excused = !late && run.isRunningAt(signalMs + LAST_SIXTH_MS);
    if (call.status() == 0 || !call.isPastLimit() && !excused) {
      faults.add("passed on and not answered: " + text);
    }
  }
}
