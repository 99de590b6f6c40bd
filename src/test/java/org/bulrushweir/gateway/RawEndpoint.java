package org.bulrushweir.gateway;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import org.bulrushweir.platform.EndpointSide;

/**
 * An endpoint that answers each request with a body that has neither a length nor chunks, and ends
 * the connection.
 */
final class RawEndpoint implements AutoCloseable {

  private static final String HEAD_END = "\r\n\r\n";
  private static final String ID_HEADER = "x-request-id:";
  private static final int BACKLOG = 16;

  private final ServerSocket server;
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
    this.server = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
    Thread.ofVirtual().start(this::acceptConnections);
  }

  int port() {
    return server.getLocalPort();
  }

  private void acceptConnections() {
    while (!server.isClosed()) {
      try {
        final Socket socket = server.accept();
        Thread.ofVirtual().start(() -> answer(socket));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void answer(final Socket socket) {
    try (socket) {
      final String head = readHead(socket.getInputStream());
      if (end != ConnectionEnd.RESET_UNREAD) {
        socket.getInputStream().readNBytes(contentLength(head));
      }
      socket.getOutputStream().write(response(header(head, ID_HEADER)));
      if (end != ConnectionEnd.CLOSED) {
        // Lets the body arrive first, as a reset discards what was not read.
        Thread.sleep(100);
        socket.setSoLinger(true, 0);
      }
    } catch (IOException e) {
      // The gateway has closed the connection.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static String readHead(final InputStream input) throws IOException {
    final ByteArrayOutputStream head = new ByteArrayOutputStream();
    while (!head.toString(StandardCharsets.US_ASCII).endsWith(HEAD_END)) {
      final int value = input.read();
      if (value < 0) {
        throw new IOException("the connection was closed before a request");
      }
      head.write(value);
    }
    return head.toString(StandardCharsets.US_ASCII);
  }

  private static int contentLength(final String head) {
    final String length = header(head, "content-length:");
    return length.isEmpty() ? 0 : Integer.parseInt(length);
  }

  private static String header(final String head, final String name) {
    return head.lines()
        .filter(line -> line.toLowerCase(Locale.ROOT).startsWith(name))
        .map(line -> line.substring(name.length()).strip())
        .findFirst()
        .orElse("");
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
