package org.bulrushweir.gateway;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import org.bulrushweir.testing.RawRequest;
import org.bulrushweir.testing.RawServer;

/** Endpoints that share a script of answers, some of which are cut off. */
final class CutOffEndpoint implements AutoCloseable {

  private static final String NOT_FOUND = "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n";

  private final Map<String, CutOffCase> cases = new ConcurrentHashMap<>();
  private final Map<String, List<CutOffAttempt>> attempts = new ConcurrentHashMap<>();
  private final RawServer server;

  /** Starts an endpoint. */
  CutOffEndpoint() throws IOException {
    this.server = new RawServer(this::serve);
  }

  int port() {
    return server.port();
  }

  /** Sets how a request is answered. */
  void script(final String requestId, final CutOffCase cut) {
    attempts.put(requestId, new CopyOnWriteArrayList<>());
    cases.put(requestId, cut);
  }

  /** Returns the answers to a request in order. */
  List<CutOffAttempt> attempts(final String requestId) {
    return attempts.get(requestId);
  }

  private void serve(final Socket socket) throws IOException {
    boolean open = true;
    while (open) {
      open = answer(socket);
    }
  }

  /** Answers a request; returns whether the connection takes another one. */
  private boolean answer(final Socket socket) throws IOException {
    final RawRequest request = RawRequest.read(socket.getInputStream());
    final CutOffCase cut = cases.get(request.id());
    if (cut == null) {
      write(socket, NOT_FOUND);
      return true;
    }
    final List<CutOffAttempt> earlier = attempts.get(request.id());
    final CutOffAttempt attempt = cut.attempt(request, earlier.size());
    earlier.add(attempt);
    final String bytes = attempt.answer().bytes(request.id());
    write(socket, bytes.substring(0, attempt.sent()));
    if (attempt.sent() == bytes.length() && attempt.isSelfDelimiting()) {
      return true;
    }
    end(socket, attempt.end());
    return false;
  }

  private static void write(final Socket socket, final String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  private static void end(final Socket socket, final CutOffAnswer.End end) throws IOException {
    if (end == CutOffAnswer.End.RESET) {
      socket.setSoLinger(true, 0);
      return;
    }
    if (end == CutOffAnswer.End.HALF_CLOSED) {
      socket.shutdownOutput();
    }
    if (end != CutOffAnswer.End.CLOSED) {
      readToEnd(socket.getInputStream());
    }
  }

  private static void readToEnd(final InputStream input) throws IOException {
    while (input.read() >= 0) {
      // Waits for the gateway to close the connection.
    }
  }

  @Override
  public void close() throws IOException {
    server.close();
  }
}
