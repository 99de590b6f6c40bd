package org.bulrushweir.gateway;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;

/**
 * Sends raw bytes to a gateway and reads the response until the connection closes or a timeout
 * passes.
 */
final class RawSocketClient implements AutoCloseable {

  private final Socket socket;

  RawSocketClient(final int port) throws IOException {
    socket = new Socket("127.0.0.1", port);
  }

  void send(final String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    socket.getOutputStream().flush();
  }

  /** Reads until the connection closes or no data arrives for {@code pauseMs} milliseconds. */
  String read(final int pauseMs) throws IOException {
    socket.setSoTimeout(pauseMs);
    final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    final InputStream input = socket.getInputStream();
    try {
      int value = input.read();
      while (value >= 0) {
        bytes.write(value);
        value = input.read();
      }
    } catch (SocketTimeoutException e) {
      // The connection stays open.
    }
    return bytes.toString(StandardCharsets.ISO_8859_1);
  }

  /**
   * Returns whether the gateway has closed the connection.
   *
   * @return false if it stays open for one second
   * @throws IOException if the timeout can't be set
   */
  boolean isClosedByPeer() throws IOException {
    socket.setSoTimeout(1_000);
    try {
      return socket.getInputStream().read() < 0;
    } catch (SocketTimeoutException e) {
      return false;
    } catch (IOException e) {
      return true;
    }
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
