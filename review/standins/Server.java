import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** An HTTP/1.1 server that handles one request at a time on each connection. */
final class Server implements AutoCloseable {

  private static final int MAX_LINE_BYTES = 65_536;

  /** Handles a request; it may keep the connection's thread as long as it likes. */
  @FunctionalInterface
  interface Handler {
    void handle(Request request, Connection connection) throws IOException;
  }

  /** A request with its headers as they were received. */
  record Request(String method, String target, List<String> headers, byte[] body) {
    String path() {
      final int query = target.indexOf('?');
      return query < 0 ? target : target.substring(0, query);
    }

    String query(final String name) {
      final int start = target.indexOf('?');
      for (final String field : target.substring(start + 1).split("&")) {
        if (field.startsWith(name + "=")) {
          return URLDecoder.decode(field.substring(name.length() + 1), StandardCharsets.UTF_8);
        }
      }
      return "";
    }

    /** Returns the value of a header, null if it is missing. */
    String header(final String name) {
      return find(headers, name);
    }
  }

  static String find(final List<String> headers, final String name) {
    for (final String line : headers) {
      if (line.regionMatches(true, 0, name + ":", 0, name.length() + 1)) {
        return line.substring(name.length() + 1).strip();
      }
    }
    return null;
  }

  /** Reads a line that ends with a line feed; returns null at the end of the stream. */
  static String readLine(final InputStream in) throws IOException {
    final ByteArrayOutputStream line = new ByteArrayOutputStream();
    while (line.size() < MAX_LINE_BYTES) {
      final int value = in.read();
      if (value < 0) {
        return null;
      }
      if (value == '\n') {
        return line.toString(StandardCharsets.ISO_8859_1).stripTrailing();
      }
      line.write(value);
    }
    throw new IOException("a line is too long");
  }

  static List<String> readHeaders(final InputStream in) throws IOException {
    final List<String> headers = new ArrayList<>();
    while (true) {
      final String line = readLine(in);
      if (line == null) {
        throw new IOException("the head broke off");
      }
      if (line.isEmpty()) {
        return headers;
      }
      headers.add(line);
    }
  }

  /** One accepted connection. */
  static final class Connection {
    private final Socket socket;

    private Connection(final Socket socket) {
      this.socket = socket;
    }

    Socket socket() {
      return socket;
    }

    void write(final String text) throws IOException {
      write(text.getBytes(StandardCharsets.UTF_8));
    }

    void write(final byte[] bytes) throws IOException {
      socket.getOutputStream().write(bytes);
      socket.getOutputStream().flush();
    }

    void chunk(final String text) throws IOException {
      final byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
      write(Integer.toHexString(bytes.length) + "\r\n" + text + "\r\n");
    }

    void reply(final String status, final List<String> headers, final byte[] body)
        throws IOException {
      final StringBuilder head = new StringBuilder("HTTP/1.1 " + status + "\r\n");
      headers.forEach(line -> head.append(line).append("\r\n"));
      head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
      final ByteArrayOutputStream all = new ByteArrayOutputStream();
      all.write(head.toString().getBytes(StandardCharsets.UTF_8));
      all.write(body);
      write(all.toByteArray());
    }
  }

  private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
  private final ServerSocket listener = new ServerSocket();
  private final Handler handler;

  Server(final String host, final int port, final Handler handler) throws IOException {
    this.handler = handler;
    listener.setReuseAddress(true);
    listener.bind(new InetSocketAddress(InetAddress.getByName(host), port), 512);
    Thread.ofVirtual().start(this::accept);
  }

  String address() {
    return listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort();
  }

  int port() {
    return listener.getLocalPort();
  }

  private void accept() {
    while (!listener.isClosed()) {
      try {
        final Socket socket = listener.accept();
        socket.setTcpNoDelay(true);
        sockets.add(socket);
        Thread.ofVirtual().start(() -> serve(socket));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(final Socket socket) {
    try (socket) {
      final InputStream in = new BufferedInputStream(socket.getInputStream(), 65_536);
      while (true) {
        final String line = readLine(in);
        if (line == null) {
          return;
        }
        final String[] words = line.split(" ");
        final List<String> headers = readHeaders(in);
        final String length = find(headers, "Content-Length");
        final byte[] body = length == null ? new byte[0] : in.readNBytes(Integer.parseInt(length));
        handler.handle(new Request(words[0], words[1], headers, body), new Connection(socket));
      }
    } catch (IOException e) {
      // The peer has gone, or the server has ended.
    } finally {
      sockets.remove(socket);
    }
  }

  /** Ends the server like a crash of its process: no new connections, all others reset. */
  @Override
  public void close() throws IOException {
    listener.close();
    for (final Socket socket : sockets) {
      try {
        socket.setSoLinger(true, 0);
      } catch (IOException e) {
        // Already closed.
      }
      socket.close();
    }
  }
}
