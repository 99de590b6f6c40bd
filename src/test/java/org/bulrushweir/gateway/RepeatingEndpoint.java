package org.bulrushweir.gateway;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.bulrushweir.testing.RawRequest;
import org.bulrushweir.testing.RawServer;

/**
 * A faulty endpoint that refuses each second request with proof. On a connection on which it has
 * refused a request, it runs each later one, but writes the refusal once more before the response.
 */
final class RepeatingEndpoint implements AutoCloseable {

  private final Map<String, Integer> runs = new ConcurrentHashMap<>();
  private final AtomicInteger requests = new AtomicInteger();
  private final RawServer server;
  private final boolean namesRequest;

  /**
   * Starts an endpoint.
   *
   * @param namesRequest whether its refusals name the request
   */
  RepeatingEndpoint(final boolean namesRequest) throws IOException {
    this.namesRequest = namesRequest;
    this.server = new RawServer(this::serve);
  }

  int port() {
    return server.port();
  }

  /** Returns how often each request ran. */
  Map<String, Integer> runs() {
    return runs;
  }

  private void serve(final Socket socket) throws IOException {
    socket.setTcpNoDelay(true);
    final InputStream input = socket.getInputStream();
    final OutputStream output = socket.getOutputStream();
    String refusal = "";
    while (!socket.isClosed()) {
      final RawRequest request = RawRequest.read(input);
      input.readNBytes(request.contentLength());
      if (refusal.isEmpty() && requests.getAndIncrement() % 2 == 0) {
        refusal = refusal(request.id());
        write(output, refusal);
      } else {
        runs.merge(request.id(), 1, Integer::sum);
        write(output, refusal);
        write(output, answer(request.id()));
      }
    }
  }

  private String refusal(final String id) {
    return "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n"
        + (namesRequest ? "X-Request-Id: " + id + "\r\n" : "")
        + "\r\n";
  }

  private static String answer(final String id) {
    final String body = "answer to " + id;
    return "HTTP/1.1 200 OK\r\nX-Response-Seal: a\r\nX-Request-Id: "
        + id
        + "\r\nContent-Length: "
        + body.length()
        + "\r\n\r\n"
        + body;
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
