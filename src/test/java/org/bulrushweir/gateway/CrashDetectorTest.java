package org.bulrushweir.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.bulrushweir.api.EndpointId;
import org.bulrushweir.api.ServiceName;
import org.bulrushweir.api.ZoneName;
import org.bulrushweir.balancing.PromptSegment;
import org.bulrushweir.catalog.EndpointRecord;
import org.bulrushweir.quarantine.PromptQuarantine;
import org.bulrushweir.testing.RawServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests that only the end of an endpoint's process counts as a crash. */
class CrashDetectorTest {

  private static final long SEGMENT = 7;
  private static final int RUNS = 3;
  private static final long PAUSE_MS = 1_000;
  private static final long WAIT_MS = 5_000;

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final AtomicLong now = new AtomicLong();
  private final PromptQuarantine quarantine = new PromptQuarantine();
  private final ConnectionPool pool =
      new ConnectionPool(group, now::get, (endpoint, request, kind) -> {});
  private final CrashDetector detector = new CrashDetector(pool, quarantine, now::get);

  @AfterEach
  void close() {
    group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
  }

  /** Reports a broken attempt at each of several runs of an endpoint; returns what is found. */
  private List<Long> findAfterBrokenAttempts(final int port) throws Exception {
    for (int run = 1; run <= RUNS; run++) {
      final long startedAtMs = run;
      now.addAndGet(PAUSE_MS);
      group
          .next()
          .submit(
              () ->
                  detector.attemptBroken(
                      endpoint(port, startedAtMs),
                      List.of(new PromptSegment(SEGMENT, 500), new PromptSegment(startedAtMs, 9))))
          .sync();
      awaitChecked(run);
    }
    return group.next().submit(() -> quarantine.update(now.get() + PAUSE_MS)).get();
  }

  private void awaitChecked(final int run) throws Exception {
    final long untilMs = System.currentTimeMillis() + WAIT_MS;
    while (pool.opened() < run && System.currentTimeMillis() < untilMs) {
      Thread.sleep(5);
    }
    assertTrue(pool.opened() >= run);
    Thread.sleep(100);
  }

  private static EndpointRecord endpoint(final int port, final long startedAtMs) {
    return new EndpointRecord(
        new EndpointId("engine-1"),
        new ServiceName("assistant"),
        "127.0.0.1",
        port,
        new ZoneName("zone-1"),
        8,
        false,
        startedAtMs);
  }

  private static ServerSocket listen() throws IOException {
    return new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
  }

  @Test
  void refusedConnectionShowsThatTheProcessHasEnded() throws Exception {
    final int port;
    try (ServerSocket ended = listen()) {
      port = ended.getLocalPort();
    }
    assertEquals(List.of(SEGMENT), findAfterBrokenAttempts(port));
  }

  @Test
  void brokenConnectionToRunningProcessIsNoCrash() throws Exception {
    try (ServerSocket running = listen()) {
      assertEquals(List.of(), findAfterBrokenAttempts(running.getLocalPort()));
    }
  }

  /** Guards against a check that reads bytes which nobody asked for. */
  @Test
  void responseThatNobodyAskedForIsNoCrash() throws Exception {
    final byte[] refusal =
        "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\nHTTP/1.1 2"
            .getBytes(StandardCharsets.US_ASCII);
    try (RawServer running =
        new RawServer(connection -> connection.getOutputStream().write(refusal))) {
      assertEquals(List.of(), findAfterBrokenAttempts(running.port()));
    }
  }
}
