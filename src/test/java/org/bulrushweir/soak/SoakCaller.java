package org.bulrushweir.soak;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Random;

/** A caller that keeps a connection to a gateway and uses it until it is closed. */
final class SoakCaller implements Runnable {

  private static final String HEAD =
      """
      POST %s HTTP/1.1\r
      Host: %s\r
      X-Request-Id: %s\r
      X-Deadline-Ms: %d\r
      Authorization: Bearer %s\r
      Content-Length: %d\r
      \r
      """;

  private static final int CONNECT_TIMEOUT_MS = 1_000;

  /** How much longer than the route's time-out a caller waits, in milliseconds. */
  private static final long PATIENCE_MS = 1_500;

  private static final int MAX_PAUSE_MS = 80;

  /** One in so many requests is left early, and so many times a caller goes to another gateway. */
  private static final int RARE = 25;

  private final String name;
  private final List<? extends SoakGateway> gateways;
  private final Configurations configurations;
  private final History history;
  private final Checker checker;
  private final Random random;
  private volatile boolean stopped;
  private SoakGateway gateway;
  private Socket socket;
  private BufferedInputStream input;
  private int boot;
  private int count;

  /**
   * Creates a caller.
   *
   * @param name its name, of no other caller
   * @param gateways the gateways that it calls
   * @param configurations what the operator has written
   * @param history takes its requests
   * @param checker checks what it gets
   * @param seed the seed of its behaviour
   */
  SoakCaller(
      final String name,
      final List<? extends SoakGateway> gateways,
      final Configurations configurations,
      final History history,
      final Checker checker,
      final long seed) {
    this.name = name;
    this.gateways = gateways;
    this.configurations = configurations;
    this.history = history;
    this.checker = checker;
    this.random = new Random(seed);
  }

  /** Lets the caller stop after its present request. */
  void stop() {
    stopped = true;
  }

  @Override
  public void run() {
    try {
      while (!stopped) {
        Thread.sleep(random.nextInt(MAX_PAUSE_MS));
        if (socket != null && (random.nextInt(RARE) == 0 || !isQuiet())) {
          disconnect();
        }
        if (socket != null || connect()) {
          call();
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      disconnect();
    }
  }

  /**
   * Checks that nothing comes while no request waits; false if the connection is of no more use.
   */
  private boolean isQuiet() {
    try {
      final int available = input.available();
      if (available == 0) {
        return true;
      }
      final String bytes = new String(input.readNBytes(available), StandardCharsets.ISO_8859_1);
      if (!bytes.startsWith("HTTP/1.1 4")) {
        checker.breach(Promise.NO_STRAY_BYTES, name + " got without a request: " + bytes);
      }
    } catch (IOException e) {
      // The gateway has closed the connection.
    }
    return false;
  }

  private boolean connect() throws InterruptedException {
    gateway = gateways.get(random.nextInt(gateways.size()));
    boot = gateway.boot();
    final Socket opened = new Socket();
    try {
      opened.connect(
          new InetSocketAddress(InetAddress.getLoopbackAddress(), gateway.port()),
          CONNECT_TIMEOUT_MS);
      opened.setTcpNoDelay(true);
      input = new BufferedInputStream(opened.getInputStream());
      socket = opened;
      return true;
    } catch (IOException e) {
      closeQuietly(opened);
      Thread.sleep(MAX_PAUSE_MS);
      return false;
    }
  }

  private void call() {
    final CallerRequest request = nextRequest();
    history.sent(request);
    final boolean leaving = random.nextInt(RARE) == 0;
    final long limitMs =
        request.sentAtMs()
            + (leaving ? random.nextInt(200) : Configurations.TIMEOUT_MS + PATIENCE_MS);
    final CallerOutcome outcome = exchange(request, limitMs, leaving);
    checker.checkOutcome(request, outcome);
    if (outcome.end() != CallerOutcome.End.COMPLETE) {
      disconnect();
    }
  }

  private CallerRequest nextRequest() {
    final Traffic traffic = Traffic.values()[random.nextInt(Traffic.values().length)];
    final List<Configurations.Version> versions = configurations.versions();
    final int back = Math.min(versions.size() - 1, random.nextInt(2));
    final Configurations.Version version = versions.get(versions.size() - 1 - back);
    final boolean ownRoute = traffic == Traffic.PROBE && random.nextBoolean();
    final boolean ownKey = traffic == Traffic.PROBE && !ownRoute;
    count++;
    return new CallerRequest(
        name + "-" + count,
        traffic,
        traffic != Traffic.PROBE ? traffic.route() : ownRoute ? version.route() : "look",
        ownKey ? version.key() : Configurations.STEADY_KEY,
        "body of " + count + "x".repeat(random.nextInt(300)),
        gateway.name(),
        boot,
        checker.nowMs());
  }

  private CallerOutcome exchange(
      final CallerRequest request, final long limitMs, final boolean leaving) {
    final ByteArrayOutputStream body = new ByteArrayOutputStream();
    int status = 0;
    String seal = "";
    CallerOutcome.End end;
    String text = "";
    try {
      socket.getOutputStream().write(bytes(request));
      final TimedInput timed = new TimedInput(input, socket, limitMs, checker::nowMs);
      final HttpHead head = HttpHead.read(timed);
      if (head == null) {
        end = CallerOutcome.End.CLOSED;
      } else {
        status = head.status();
        seal = head.header("x-response-seal");
        head.readBody(timed, body);
        end = CallerOutcome.End.COMPLETE;
        if ("close".equalsIgnoreCase(head.header("connection"))) {
          disconnect();
        }
      }
    } catch (SocketTimeoutException e) {
      end = leaving ? CallerOutcome.End.LEFT : CallerOutcome.End.SILENT;
    } catch (MalformedMessageException e) {
      end = CallerOutcome.End.MALFORMED;
      text = e.getMessage();
    } catch (IOException e) {
      end = CallerOutcome.End.CLOSED;
    }
    return new CallerOutcome(
        end, status, seal, text + body.toString(StandardCharsets.ISO_8859_1), checker.nowMs());
  }

  private static byte[] bytes(final CallerRequest request) {
    return HEAD.formatted(
            request.path(),
            Configurations.HOST,
            request.id(),
            Configurations.TIMEOUT_MS + PATIENCE_MS,
            request.key(),
            request.body().length())
        .concat(request.body())
        .getBytes(StandardCharsets.ISO_8859_1);
  }

  private void disconnect() {
    if (socket != null) {
      closeQuietly(socket);
      socket = null;
    }
  }

  private static void closeQuietly(final Socket socket) {
    try {
      socket.close();
    } catch (IOException e) {
      // Nothing is left to close.
    }
  }
}
