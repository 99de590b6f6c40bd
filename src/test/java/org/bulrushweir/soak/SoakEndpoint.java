package org.bulrushweir.soak;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.bulrushweir.api.ServiceName;
import org.bulrushweir.api.ZoneName;
import org.bulrushweir.platform.EndpointSide;
import org.bulrushweir.standin.PlatformStandIn;
import org.bulrushweir.store.SharedTable;

/** An endpoint behind a proxy that writes raw bytes, leaves, restarts and misbehaves. */
final class SoakEndpoint implements AutoCloseable {

  private static final int BACKLOG = 256;
  private static final int SLOTS = 128;

  /** A time at which the endpoint does not leave, in milliseconds. */
  private static final long STAYS = Long.MAX_VALUE;

  private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
  private final String name;
  private final String service;
  private final PlatformStandIn platform;
  private final Checker checker;
  private final History history;
  private final Random random;
  private final ServerSocket server;
  private final FaultProxy proxy;
  private volatile EndpointMode mode = EndpointMode.SOUND;
  private volatile boolean down;
  private volatile int boot = 1;
  private volatile String id;
  private volatile long startedAtMs = System.currentTimeMillis();
  private volatile long leavingSinceMs = STAYS;

  /**
   * Starts an endpoint and registers it.
   *
   * @param name its name, which stays when its id changes
   * @param service its service
   * @param platform where it registers
   * @param checker checks its runs
   * @param history takes its runs and answers
   * @param seed the seed of its behaviour
   * @throws IOException if no port can be bound
   */
  SoakEndpoint(
      final String name,
      final String service,
      final PlatformStandIn platform,
      final Checker checker,
      final History history,
      final long seed)
      throws IOException {
    this.name = name;
    this.service = service;
    this.platform = platform;
    this.checker = checker;
    this.history = history;
    this.random = new Random(seed);
    this.id = name + "-1";
    this.server = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
    this.proxy = new FaultProxy(server.getLocalPort());
    Thread.ofVirtual().start(this::accept);
    register(false);
  }

  String name() {
    return name;
  }

  String service() {
    return service;
  }

  String id() {
    return id;
  }

  FaultProxy proxy() {
    return proxy;
  }

  boolean isLeaving() {
    return leavingSinceMs != STAYS;
  }

  void misbehaveAs(final EndpointMode newMode) {
    mode = newMode;
  }

  private void register(final boolean draining) {
    platform.put(
        SharedTable.ENDPOINTS,
        id,
        EndpointSide.registration(
            new ServiceName(service),
            "127.0.0.1:" + proxy.port(),
            new ZoneName("zone-1"),
            SLOTS,
            draining,
            startedAtMs));
  }

  /** Ends at once, as in a crash. */
  void crash() {
    down = true;
    boot++;
    sockets.forEach(SoakEndpoint::closeQuietly);
  }

  /**
   * Starts again after a crash.
   *
   * @param sameId whether it keeps its id
   */
  void restart(final boolean sameId) {
    if (!sameId) {
      platform.put(SharedTable.ENDPOINTS, id, null);
      id = name + "-" + boot;
    }
    startedAtMs = Math.max(System.currentTimeMillis(), startedAtMs + 1);
    leavingSinceMs = STAYS;
    down = false;
    register(false);
  }

  /**
   * Begins to leave; it goes on serving.
   *
   * @param announced whether it says so before its registration is removed
   */
  void leave(final boolean announced) {
    if (announced) {
      register(true);
    } else {
      platform.put(SharedTable.ENDPOINTS, id, null);
    }
    leavingSinceMs = checker.nowMs();
  }

  private void accept() {
    while (!server.isClosed()) {
      try {
        final Socket socket = server.accept();
        if (down) {
          socket.close();
        } else {
          Thread.ofVirtual().start(() -> serve(socket));
        }
      } catch (IOException e) {
        // The endpoint was closed, or the connection was reset before it was accepted.
      }
    }
  }

  private void serve(final Socket socket) {
    sockets.add(socket);
    try (socket) {
      socket.setTcpNoDelay(true);
      final Stutter stutter = new Stutter(socket, nextRandom(), history);
      final BufferedInputStream input = new BufferedInputStream(socket.getInputStream());
      final int ownBoot = boot;
      for (HttpHead head = stutter.awaitHead(input);
          head != null && boot == ownBoot;
          head = stutter.awaitHead(input)) {
        final ByteArrayOutputStream body = new ByteArrayOutputStream();
        head.readBody(input, body);
        if (!answer(socket, head, body.toString(StandardCharsets.ISO_8859_1), stutter)) {
          return;
        }
      }
    } catch (IOException e) {
      // The gateway has closed the connection, or the endpoint has crashed.
    } finally {
      sockets.remove(socket);
    }
  }

  private synchronized Random nextRandom() {
    return new Random(random.nextLong());
  }

  /** Answers a request; false if the connection is not to be used any more. */
  private boolean answer(
      final Socket socket, final HttpHead head, final String body, final Stutter stutter)
      throws IOException {
    final Random choices = nextRandom();
    final OutputStream output = socket.getOutputStream();
    final CallerRequest request = checkRequest(head, body);
    if (request == null) {
      return false;
    }
    final EndpointMode now = mode;
    final boolean misdirected =
        !head.header("x-expect-instance").isEmpty() && !id.equals(head.header("x-expect-instance"));
    final boolean unproven = now == EndpointMode.REFUSE_UNPROVEN;
    if (misdirected
        || now == EndpointMode.REFUSE
        || unproven && choices.nextBoolean()
        || now == EndpointMode.STUTTER && choices.nextInt(4) == 0) {
      final Answer refusal =
          new Answer(history.nextSeal(), request.id(), null, misdirected ? 421 : 503, "full");
      history.answered(refusal);
      final byte[] bytes = AnswerBytes.call(refusal, misdirected || !unproven);
      stutter.writeCopy();
      output.write(bytes);
      if (now == EndpointMode.STUTTER) {
        stutter.repeat(bytes);
      }
      return true;
    }
    final EndpointRun run = new EndpointRun(history.nextSeal(), name, request, checker.nowMs());
    checker.checkRun(run, service, head.header("x-tenant"), leavingSinceMs);
    return new RunWriter(socket, run, now, choices, stutter, history)
        .write(head.header("last-event-id"));
  }

  /** Finds the caller's request; null if there is none. */
  private CallerRequest checkRequest(final HttpHead head, final String body) {
    final CallerRequest request = history.request(head.header("x-request-id"));
    final String line = request == null ? "" : "POST " + request.path() + " HTTP/1.1";
    if (request == null || !head.startLine().equals(line) || !request.body().equals(body)) {
      checker.breach(
          Promise.UNCHANGED_REQUEST,
          name + " got " + head + " with body " + body + ", not " + request);
      return null;
    }
    return request;
  }

  private static void closeQuietly(final Socket socket) {
    try {
      socket.close();
    } catch (IOException e) {
      // It is closed already.
    }
  }

  @Override
  public void close() throws IOException {
    server.close();
    proxy.close();
    sockets.forEach(SoakEndpoint::closeQuietly);
  }
}
