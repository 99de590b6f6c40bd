package org.bulrushweir.process;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.Semaphore;
import org.bulrushweir.api.ServiceName;
import org.bulrushweir.api.ZoneName;
import org.bulrushweir.platform.EndpointSide;
import org.bulrushweir.standin.PlatformStandIn;
import org.bulrushweir.store.SharedTable;

/**
 * An endpoint whose requests say how they are answered: the last segment of their path is {@code
 * EVENTS-WAIT_MS-GAP_MS}, with no events for a call. It records when it got and ran each request.
 */
final class TimedEndpoint implements AutoCloseable {

  /** The status that the first endpoint of a request answers, in a path that asks for it. */
  private static final String FAIL_FIRST = "fail";

  private static final int BACKLOG = 256;
  private static final String CRLF = "\r\n";

  private final Map<String, EndpointRun> runs;
  private final ServerSocket server =
      new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
  private final Semaphore slots;

  /**
   * Starts an endpoint and registers it.
   *
   * @param platform where it registers
   * @param name its id
   * @param service its service
   * @param slots how many requests it runs at once; the others wait
   * @param runs takes what happens to each request, by its id; shared by all endpoints
   * @throws IOException if it can't listen
   */
  TimedEndpoint(
      final PlatformStandIn platform,
      final String name,
      final String service,
      final int slots,
      final Map<String, EndpointRun> runs)
      throws IOException {
    this.slots = new Semaphore(slots, true);
    this.runs = runs;
    register(platform, name, service, server.getLocalPort());
    Thread.ofVirtual().start(this::acceptConnections);
  }

  /**
   * Registers an endpoint.
   *
   * @param platform where it is registered
   * @param name its id
   * @param service its service
   * @param port its port
   */
  static void register(
      final PlatformStandIn platform, final String name, final String service, final int port) {
    platform.put(
        SharedTable.ENDPOINTS,
        name,
        EndpointSide.registration(
            new ServiceName(service),
            "127.0.0.1:" + port,
            new ZoneName("zone-1"),
            BACKLOG,
            false,
            System.currentTimeMillis()));
  }

  private void acceptConnections() {
    while (!server.isClosed()) {
      try {
        final Socket connection = server.accept();
        Thread.ofVirtual().start(() -> serve(connection));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(final Socket connection) {
    try (connection) {
      connection.setTcpNoDelay(true);
      for (HttpText head = HttpText.read(connection.getInputStream());
          !head.isEmpty();
          head = HttpText.read(connection.getInputStream())) {
        final String id = head.header("X-Request-Id");
        if (id.isEmpty()) {
          write(
              connection.getOutputStream(),
              "HTTP/1.1 404 Not Found" + CRLF + "Content-Length: 0" + CRLF + CRLF);
          continue;
        }
        final EndpointRun run = runs.computeIfAbsent(id, key -> new EndpointRun());
        run.arrived();
        head.readBody(connection.getInputStream());
        slots.acquire();
        try {
          run.started();
          answer(connection.getOutputStream(), head, id, run);
        } finally {
          run.ended();
          slots.release();
        }
      }
    } catch (IOException e) {
      // The gateway has closed the connection.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static void answer(
      final OutputStream output, final HttpText head, final String id, final EndpointRun run)
      throws IOException, InterruptedException {
    final String path = head.word(1);
    final String[] plan = path.substring(path.lastIndexOf('/') + 1).split("-", -1);
    final int events = Integer.parseInt(plan[0]);
    final long waitMs = Long.parseLong(plan[1]);
    final long gapMs = Long.parseLong(plan[2]);
    Thread.sleep(waitMs);
    final String seal = "X-Request-Id: " + id + CRLF + "X-Response-Seal: seal" + CRLF;
    if (plan[3].equals(FAIL_FIRST) && run.runs() == 1) {
      write(output, "HTTP/1.1 500 Failed" + CRLF + seal + "Content-Length: 0" + CRLF + CRLF);
      return;
    }
    if (events == 0) {
      final String length = "Content-Length: " + id.length() + CRLF + CRLF;
      write(output, "HTTP/1.1 200 OK" + CRLF + seal + length + id);
      return;
    }
    write(output, "HTTP/1.1 200 OK" + CRLF + seal + "Transfer-Encoding: chunked" + CRLF + CRLF);
    final String after = head.header("Last-Event-Id");
    for (int event = after.isEmpty() ? 0 : Integer.parseInt(after) + 1; event < events; event++) {
      final String text = "id: " + event + "\ndata: " + id + "\n\n";
      write(output, Integer.toHexString(text.length()) + CRLF + text + CRLF);
      Thread.sleep(gapMs);
    }
    write(output, "0" + CRLF + CRLF);
  }

  private static void write(final OutputStream output, final String text) throws IOException {
    output.write(text.getBytes(StandardCharsets.US_ASCII));
    output.flush();
  }

  @Override
  public void close() throws IOException {
    server.close();
  }
}
