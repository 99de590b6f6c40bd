package org.bulrushweir.soak;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Random;

/** Stands in for a gateway, in this process, and breaks one promise. */
final class BrokenGateway implements SoakGateway {

  /** One in so many requests meets the sabotage. */
  private static final int SHARE = 8;

  private static final long STEADY_MS = 1_500;
  private static final long LATE_MS = 300;
  private static final long HUGE_KB = 10_000_000;
  private static final String HEAD_END = "\r\n\r\n";

  private final long startedAtMs = System.currentTimeMillis();
  private final Random random = new Random(1);
  private final String name;
  private final Sabotage sabotage;
  private final Configurations configurations;
  private final List<SoakEndpoint> endpoints;
  private final ServerSocket server;
  private volatile String lastAnswer = "";

  /**
   * Starts it.
   *
   * @param name its name
   * @param sabotage what it does wrong
   * @param configurations what it follows
   * @param endpoints where it sends requests
   * @throws IOException if no port can be bound
   */
  BrokenGateway(
      final String name,
      final Sabotage sabotage,
      final Configurations configurations,
      final List<SoakEndpoint> endpoints)
      throws IOException {
    this.name = name;
    this.sabotage = sabotage;
    this.configurations = configurations;
    this.endpoints = endpoints;
    this.server = new ServerSocket(0, 256, InetAddress.getLoopbackAddress());
    Thread.ofVirtual().start(this::accept);
  }

  private void accept() {
    while (!server.isClosed()) {
      try {
        final Socket socket = server.accept();
        Thread.ofVirtual().start(() -> serve(socket));
      } catch (IOException e) {
        // It was closed.
      }
    }
  }

  private void serve(final Socket socket) {
    try (socket) {
      final InputStream input = new BufferedInputStream(socket.getInputStream());
      for (HttpHead head = HttpHead.read(input); head != null; head = HttpHead.read(input)) {
        final ByteArrayOutputStream body = new ByteArrayOutputStream();
        head.readBody(input, body);
        final boolean breaks = nextInt(SHARE) == 0;
        final String answer = answer(head, body.toString(StandardCharsets.ISO_8859_1), breaks);
        if (answer.isEmpty()) {
          return;
        }
        write(socket, answer);
        if (breaks && sabotage == Sabotage.ANSWERS_TWICE) {
          write(socket, answer);
        }
      }
    } catch (IOException e) {
      // The caller has left, or an endpoint was not there.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private synchronized int nextInt(final int bound) {
    return random.nextInt(bound);
  }

  private static void write(final Socket socket, final String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  private boolean isSteady() {
    return System.currentTimeMillis() - startedAtMs > STEADY_MS;
  }

  private Configurations.Version version(final boolean breaks) {
    final boolean old =
        sabotage == Sabotage.STAYS_OLD || sabotage == Sabotage.REVERTS && isSteady() && breaks;
    return old ? configurations.versions().getFirst() : configurations.newest();
  }

  private String answer(final HttpHead head, final String body, final boolean breaks)
      throws IOException, InterruptedException {
    final String route = head.startLine().split("/", 3)[1];
    final String key = head.header("authorization").replace("Bearer ", "");
    final Configurations.Version version = version(breaks);
    if (!version.allowsRoute(route)) {
      return own(404);
    }
    if (!version.allowsKey(key) || breaks && sabotage == Sabotage.DENIES) {
      return own(401);
    }
    if (sabotage == Sabotage.GETS_STUCK && isSteady()) {
      return own(502);
    }
    final Traffic traffic = traffic(route);
    final boolean misroutes = breaks && sabotage == Sabotage.WRONG_SERVICE;
    final String usual = traffic == Traffic.MOVED ? version.movedTo() : traffic.service();
    final SoakEndpoint endpoint = endpoint(misroutes ? "assistant" : usual);
    final String tenant =
        breaks && sabotage == Sabotage.WRONG_TENANT ? "nobody" : version.tenant(key);
    final String request =
        request(head, tenant, breaks && sabotage == Sabotage.CHANGES_BODY ? body + "!" : body);
    return breaks ? sabotaged(endpoint, request) : send(endpoint, request);
  }

  private static Traffic traffic(final String route) {
    for (final Traffic traffic : Traffic.values()) {
      if (traffic.route().equals(route)) {
        return traffic;
      }
    }
    return Traffic.PROBE;
  }

  private SoakEndpoint endpoint(final String service) throws IOException {
    final List<SoakEndpoint> usable =
        endpoints.stream()
            .filter(it -> it.service().equals(service))
            .filter(it -> sabotage == Sabotage.USES_LEAVING || !it.isLeaving())
            .toList();
    if (usable.isEmpty()) {
      throw new IOException("no endpoint");
    }
    return usable.get(nextInt(usable.size()));
  }

  private String sabotaged(final SoakEndpoint endpoint, final String request)
      throws IOException, InterruptedException {
    return switch (sabotage) {
      case FOREIGN_ANSWER -> lastAnswer.isEmpty() ? send(endpoint, request) : lastAnswer;
      case CUT_ANSWER -> cut(send(endpoint, request));
      case SKIPS_EVENT -> send(endpoint, request).replaceFirst("id: 1\n[^\n]*\n\n", "");
      case JOINS_STREAMS -> join(send(endpoint, request), send(endpoint, request));
      case SENDS_TWICE -> send(endpoint, request) + send(endpoint, request).substring(0, 0);
      case REFUSES_AFTER_RUN -> own(send(endpoint, request).isEmpty() ? 502 : 503);
      case SENDS_AFTER_REFUSAL -> {
        Thread.ofVirtual().start(() -> sendLate(endpoint, request));
        yield own(503);
      }
      case LOSES_ANSWER -> send(endpoint, request).substring(0, 0);
      case NEVER_ANSWERS -> {
        Thread.sleep(Configurations.TIMEOUT_MS * 3);
        yield "";
      }
      default -> send(endpoint, request);
    };
  }

  private void sendLate(final SoakEndpoint endpoint, final String request) {
    try {
      Thread.sleep(LATE_MS);
      send(endpoint, request);
    } catch (IOException e) {
      // The endpoint was not there.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static String cut(final String answer) {
    final int start = answer.indexOf(HEAD_END) + HEAD_END.length();
    final String body = answer.substring(start);
    return answer
            .substring(0, start)
            .replaceFirst("Content-Length: \\d+", "Content-Length: " + body.length() / 2)
        + body.substring(0, body.length() / 2);
  }

  private static String join(final String first, final String second) {
    final int half = first.indexOf("id: 1\n");
    final int rest = second.indexOf("id: 1\n");
    return half < 0 || rest < 0 ? first : first.substring(0, half) + second.substring(rest);
  }

  private static String request(final HttpHead head, final String tenant, final String body) {
    return head.startLine()
        + "\r\nX-Request-Id: "
        + head.header("x-request-id")
        + "\r\nX-Tenant: "
        + tenant
        + "\r\nContent-Length: "
        + body.length()
        + HEAD_END
        + body;
  }

  /** Sends a request and returns the answer with a length instead of chunks. */
  private String send(final SoakEndpoint endpoint, final String request) throws IOException {
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), endpoint.proxy().port())) {
      write(socket, request);
      final InputStream input = new BufferedInputStream(socket.getInputStream());
      final HttpHead head = HttpHead.read(input);
      if (head == null) {
        throw new IOException("no answer");
      }
      final ByteArrayOutputStream body = new ByteArrayOutputStream();
      head.readBody(input, body);
      lastAnswer =
          head.startLine()
              + "\r\nX-Request-Id: "
              + head.header("x-request-id")
              + "\r\nX-Response-Seal: "
              + head.header("x-response-seal")
              + "\r\nContent-Length: "
              + body.size()
              + HEAD_END
              + body.toString(StandardCharsets.ISO_8859_1);
      return lastAnswer;
    }
  }

  private static String own(final int status) {
    return "HTTP/1.1 " + status + " Own\r\nContent-Length: 0" + HEAD_END;
  }

  @Override
  public String name() {
    return name;
  }

  @Override
  public int port() {
    return server.getLocalPort();
  }

  @Override
  public int boot() {
    return 1;
  }

  @Override
  public boolean isAlive() {
    return sabotage != Sabotage.ENDS || !isSteady();
  }

  @Override
  public long pid() {
    return 0;
  }

  @Override
  public long memoryKb() {
    return sabotage == Sabotage.GROWS && isSteady() ? HUGE_KB : 0;
  }

  @Override
  public void signal(final String signal) {
    // There is no process.
  }

  @Override
  public boolean awaitEnd(final long timeoutMs) {
    return true;
  }

  @Override
  public void start() {
    // It accepts connections from the beginning.
  }

  @Override
  public void close() throws IOException {
    server.close();
  }
}
