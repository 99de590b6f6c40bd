import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicLong;

/** A client's connection to a gateway, which it keeps for further requests. */
final class Client implements AutoCloseable {

  private static final AtomicLong IDS = new AtomicLong(System.nanoTime() & 0xffff_ffffL);

  private final Socket socket = new Socket();
  private final InputStream in;
  private final OutputStream out;

  /**
   * How a request ended.
   *
   * @param status the status, 0 if none arrived
   * @param complete whether the answer is whole
   * @param closes whether the connection ends with it
   * @param body the body, or what arrived of it
   */
  record Answer(
      String id,
      int status,
      boolean complete,
      boolean closes,
      String body,
      long tookMs,
      String detail) {

    @Override
    public String toString() {
      return id + ": " + (status == 0 ? "no status" : "status " + status)
          + (complete ? "" : ", cut off (" + detail + ")") + " after " + tookMs + " ms, "
          + body.length() + " bytes";
    }
  }

  Client(final String host, final int port) throws IOException {
    socket.setTcpNoDelay(true);
    socket.connect(new InetSocketAddress(host, port), 1_000);
    in = new BufferedInputStream(socket.getInputStream());
    out = socket.getOutputStream();
  }

  static String newId() {
    return String.format("%016x", IDS.incrementAndGet());
  }

  /** Sends a request and reads its answer. */
  Answer call(
      final String method,
      final String path,
      final String id,
      final long deadlineMs,
      final String headers,
      final byte[] content) {
    final long startNanos = System.nanoTime();
    final ByteArrayOutputStream body = new ByteArrayOutputStream();
    int status = 0;
    try {
      socket.setSoTimeout((int) deadlineMs + 5_000);
      final String head =
          method + " " + path + " HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: " + id
              + "\r\nX-Deadline-Ms: " + deadlineMs + "\r\nAuthorization: Bearer " + Config.KEY
              + "\r\n" + headers + "Content-Length: " + content.length + "\r\n\r\n";
      out.write(head.getBytes(StandardCharsets.ISO_8859_1));
      out.write(content);
      out.flush();
      final Http.Head answer = Http.readHead(in);
      if (answer == null) {
        throw new IOException("the connection was closed without an answer");
      }
      status = answer.status();
      Http.readBody(in, answer, true, body);
      final boolean closes = answer.header("connection").equalsIgnoreCase("close");
      return new Answer(id, status, true, closes, text(body), tookMs(startNanos), "");
    } catch (IOException e) {
      return new Answer(id, status, false, true, text(body), tookMs(startNanos), e.getMessage());
    }
  }

  private static String text(final ByteArrayOutputStream body) {
    return body.toString(StandardCharsets.ISO_8859_1);
  }

  private static long tookMs(final long startNanos) {
    return (System.nanoTime() - startNanos) / 1_000_000;
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
