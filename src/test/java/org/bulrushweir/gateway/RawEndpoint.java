package org.bulrushweir.gateway;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.bulrushweir.platform.EndpointSide;
import org.bulrushweir.testing.RawRequest;
import org.bulrushweir.testing.RawServer;

/**
 * An endpoint that answers each request with a body that has neither a length nor chunks, and ends
 * the connection.
 */
final class RawEndpoint implements AutoCloseable {

  private final RawServer server;
  private final String body;
  private final ConnectionEnd end;

  /** How the connection ends after the body. */
  enum ConnectionEnd {
    /** In order, as when an operating system closes the sockets of a process that has ended. */
    CLOSED,
    /** By a reset. */
    RESET,
    /** By a reset; the body of the request is never read. */
    RESET_UNREAD
  }

  /**
   * Starts an endpoint.
   *
   * @param body the body of its responses
   * @param end how their connections end
   */
  RawEndpoint(final String body, final ConnectionEnd end) throws IOException {
    this.body = body;
    this.end = end;
    this.server = new RawServer(this::answer);
  }

  int port() {
    return server.port();
  }

  private void answer(final Socket socket) throws IOException {
    final RawRequest request = RawRequest.read(socket.getInputStream());
    if (end != ConnectionEnd.RESET_UNREAD) {
      socket.getInputStream().readNBytes(request.contentLength());
    }
    socket.getOutputStream().write(response(request.id()));
    if (end != ConnectionEnd.CLOSED) {
      letBodyArrive();
      socket.setSoLinger(true, 0);
    }
  }

  /** Waits before a reset, which discards what was not read. */
  private static void letBodyArrive() {
    try {
      Thread.sleep(100);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private byte[] response(final String requestId) {
    final HttpHeaders headers = new DefaultHttpHeaders();
    EndpointSide.seal(headers, requestId, "a seal");
    final StringBuilder text = new StringBuilder("HTTP/1.1 " + HttpResponseStatus.OK + "\r\n");
    headers.forEach(header -> text.append(header.getKey() + ": " + header.getValue() + "\r\n"));
    return text.append("\r\n").append(body).toString().getBytes(StandardCharsets.US_ASCII);
  }

  @Override
  public void close() throws IOException {
    server.close();
  }
}
