package org.bulrushweir.testing;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/**
 * Answers a request at once, without reading its body, and then ends the connection.
 *
 * @param answer the bytes of the answer; {@code @id@} stands for the id of the request
 * @param end how the connection ends
 */
public record EarlyAnswer(String answer, End end) implements RawServer.Handler {

  /** The time for which a caller may fill the buffers between the two, in milliseconds. */
  private static final long UPLOAD_MS = 100;

  /** How a connection ends. */
  public enum End {
    /** By a reset. */
    RESET,
    /** In order; bytes of the request that were not read turn this into a reset as well. */
    CLOSED,
    /** In the direction of the answer only, in order; the request is read to its end. */
    HALF_CLOSED
  }

  @Override
  public void serve(final Socket connection) throws IOException {
    serve(connection, RawRequest.read(connection.getInputStream()));
  }

  /**
   * Answers a request whose head was read.
   *
   * @param connection the connection
   * @param request the head
   * @throws IOException if the caller has closed the connection
   */
  public void serve(final Socket connection, final RawRequest request) throws IOException {
    connection
        .getOutputStream()
        .write(answer.replace("@id@", request.id()).getBytes(StandardCharsets.US_ASCII));
    letArrive();
    if (end == End.RESET) {
      connection.setSoLinger(true, 0);
    }
    if (end == End.HALF_CLOSED) {
      connection.shutdownOutput();
      connection.getInputStream().readNBytes(request.contentLength());
    }
  }

  private static void letArrive() {
    try {
      Thread.sleep(UPLOAD_MS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
