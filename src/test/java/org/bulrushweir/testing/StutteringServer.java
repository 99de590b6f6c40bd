package org.bulrushweir.testing;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicInteger;
import org.bulrushweir.testing.Repetition.Moment;

/** A faulty server that writes each answer a second time, whole or in part. */
public final class StutteringServer implements AutoCloseable {

  private static final int BACKLOG = 16;
  private static final byte[] NONE = {};
  private static final String HEAD_END = "\r\n\r\n";
  private static final String LENGTH = "content-length:";

  /** The time after an answer at which its repetition is written, in milliseconds. */
  private static final long IDLE_MS = 10;

  private final AtomicInteger requests = new AtomicInteger();
  private final ServerSocket socket;
  private final Repetition repetition;
  private final Responder responder;

  /** Answers requests. */
  @FunctionalInterface
  public interface Responder {

    /**
     * Answers a request.
     *
     * @param path the path and the query
     * @param number the number of requests before it
     * @return the answer
     */
    RawAnswer answer(String path, int number);
  }

  /**
   * Starts a server.
   *
   * @param repetition when and how answers are written again
   * @param responder makes the answers
   */
  public StutteringServer(final Repetition repetition, final Responder responder)
      throws IOException {
    this.repetition = repetition;
    this.responder = responder;
    this.socket = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
    Thread.ofVirtual().start(this::acceptConnections);
  }

  /**
   * Returns the port.
   *
   * @return the bound port
   */
  public int port() {
    return socket.getLocalPort();
  }

  /**
   * Returns the URL.
   *
   * @return the server's base URL
   */
  public String url() {
    return "http://127.0.0.1:" + port();
  }

  /** Waits until repetitions on idle connections have been written. */
  public static void awaitIdleRepetitions() throws InterruptedException {
    Thread.sleep(5 * IDLE_MS);
  }

  private void acceptConnections() {
    while (!socket.isClosed()) {
      try {
        final Socket connection = socket.accept();
        Thread.ofVirtual().start(() -> serve(connection));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(final Socket connection) {
    try (connection) {
      connection.setTcpNoDelay(true);
      final InputStream input = connection.getInputStream();
      final OutputStream output = connection.getOutputStream();
      byte[] late = NONE;
      while (!connection.isClosed()) {
        final String path = readRequest(input);
        output.write(late);
        final RawAnswer answer = responder.answer(path, requests.getAndIncrement());
        output.write(answer.bytes());
        late = repetition.moment() == Moment.AFTER_THE_NEXT_REQUEST ? repetition.cut(answer) : NONE;
        if (repetition.moment() == Moment.WHILE_IDLE) {
          Thread.sleep(IDLE_MS);
        }
        if (repetition.moment() != Moment.AFTER_THE_NEXT_REQUEST) {
          output.write(repetition.cut(answer));
        }
      }
    } catch (IOException e) {
      // The client has closed the connection.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static String readRequest(final InputStream input) throws IOException {
    final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    while (!bytes.toString(StandardCharsets.US_ASCII).endsWith(HEAD_END)) {
      final int value = input.read();
      if (value < 0) {
        throw new IOException("the connection was closed before a request");
      }
      bytes.write(value);
    }
    final String head = bytes.toString(StandardCharsets.US_ASCII);
    input.readNBytes(
        head.lines()
            .filter(line -> line.toLowerCase(Locale.ROOT).startsWith(LENGTH))
            .mapToInt(line -> Integer.parseInt(line.substring(LENGTH.length()).strip()))
            .findFirst()
            .orElse(0));
    return head.substring(head.indexOf(' ') + 1, head.indexOf(" HTTP"));
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
