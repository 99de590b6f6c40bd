package org.bulrushweir.gateway;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.bulrushweir.testing.RawRequest;
import org.bulrushweir.testing.RawServer;

/**
 * An engine whose streams break off inside an event. A request that resumes a stream gets a
 * scripted response instead.
 */
final class BreakingStreamEndpoint implements AutoCloseable {

  /** The complete stream. */
  static final String STREAM = event(0) + event(1) + event(2) + event(3);

  private static final String TRAILING_COMMENT = ": the end\n\n";
  private static final String SENT = event(0) + event(1) + "id: 2\nda";

  private final RawServer server;
  private final StreamFraming framing;
  private final String resumed;

  /** How the stream that breaks off states its end. */
  enum StreamFraming {
    /** By chunks. */
    CHUNKED,
    /** By a length, which includes a comment that the resumed stream does not have. */
    LENGTH,
    /** By the end of its connection. */
    CONNECTION
  }

  /**
   * Starts an engine.
   *
   * @param framing how its streams state their end
   * @param resumed the response to a request that resumes a stream; {@code @id@} stands for the
   *     request's id
   */
  BreakingStreamEndpoint(final StreamFraming framing, final String resumed) throws IOException {
    this.framing = framing;
    this.resumed = resumed;
    this.server = new RawServer(this::answer);
  }

  private static String event(final int number) {
    return "id: " + number + "\ndata: part " + number + "\n\n";
  }

  /** Returns the head of a response that carries an engine's signature. */
  static String head(final String status, final String headers) {
    return "HTTP/1.1 "
        + status
        + "\r\nX-Response-Seal: a\r\nX-Request-Id: @id@\r\n"
        + headers
        + "\r\n";
  }

  /** Returns the rest of the stream after its second event. */
  static String rest() {
    return event(2) + event(3);
  }

  int port() {
    return server.port();
  }

  private void answer(final Socket socket) throws IOException {
    final InputStream input = socket.getInputStream();
    final RawRequest request = RawRequest.read(input);
    input.readNBytes(request.contentLength());
    final String response = request.header("Last-Event-Id").isEmpty() ? broken() : resumed;
    socket
        .getOutputStream()
        .write(response.replace("@id@", request.id()).getBytes(StandardCharsets.US_ASCII));
  }

  private String broken() {
    return switch (framing) {
      case CHUNKED ->
          head("200 OK", "Transfer-Encoding: chunked\r\n")
              + Integer.toHexString(SENT.length())
              + "\r\n"
              + SENT
              + "\r\n";
      case LENGTH ->
          head(
                  "200 OK",
                  "Content-Length: " + (STREAM.length() + TRAILING_COMMENT.length()) + "\r\n")
              + SENT;
      case CONNECTION -> head("200 OK", "") + SENT;
    };
  }

  @Override
  public void close() throws IOException {
    server.close();
  }
}
