import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A stand-in for the platform's metadata store: rows in tables, and the feed of their changes. */
final class Store implements AutoCloseable {

  private static final Pattern ROW =
      Pattern.compile("\"table\":\"([^\"]*)\"[^}]*?\"key\":\"([^\"]*)\"(?:,\"value\":\"([^\"]*)\")?");

  private final ServerSocket server;
  private final long startNanos = System.nanoTime();
  private final Map<String, TreeMap<String, Row>> tables = new HashMap<>();
  private final List<Row> history = new ArrayList<>();
  private long version;

  private record Row(String table, String key, String value, long version) {}

  Store() throws IOException {
    this.server = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
    Threads.start("store", this::accept);
  }

  int port() {
    return server.getLocalPort();
  }

  /** Writes a row as the operator or a runner does; a null value removes it. */
  synchronized long put(final String table, final String key, final String text) {
    final String value =
        text == null
            ? null
            : Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
    return putEncoded(table, key, value);
  }

  private synchronized long putEncoded(final String table, final String key, final String value) {
    version++;
    final Row row = new Row(table, key, value, version);
    if (value == null) {
      tables.computeIfAbsent(table, name -> new TreeMap<>()).remove(key);
    } else {
      tables.computeIfAbsent(table, name -> new TreeMap<>()).put(key, row);
    }
    history.add(row);
    notifyAll();
    return version;
  }

  private void accept() {
    while (!server.isClosed()) {
      try {
        final Socket socket = server.accept();
        Threads.start("store call", () -> serve(socket));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(final Socket socket) {
    try (socket) {
      final InputStream in = new BufferedInputStream(socket.getInputStream());
      for (Http.Head head = Http.readHead(in); head != null; head = Http.readHead(in)) {
        final ByteArrayOutputStream body = new ByteArrayOutputStream();
        Http.readBody(in, head, false, body);
        answer(socket.getOutputStream(), head, body.toString(StandardCharsets.UTF_8));
      }
    } catch (IOException | InterruptedException e) {
      // The caller has closed the connection.
    }
  }

  private void answer(final OutputStream out, final Http.Head head, final String body)
      throws IOException, InterruptedException {
    final String path = head.target().split("\\?")[0];
    final Map<String, String> query = query(head.target());
    switch (path) {
      case "/rows-get" -> write(out, 200, range(query));
      case "/rows-feed" -> write(out, 200, feed(query));
      case "/rows-tx" -> write(out, 200, transact(body));
      default -> write(out, 404, "{}");
    }
  }

  private static Map<String, String> query(final String target) {
    final Map<String, String> query = new HashMap<>();
    final int mark = target.indexOf('?');
    if (mark >= 0) {
      for (final String field : target.substring(mark + 1).split("&")) {
        final String[] parts = field.split("=", 2);
        query.put(parts[0], URLDecoder.decode(parts[1], StandardCharsets.UTF_8));
      }
    }
    return query;
  }

  private synchronized String range(final Map<String, String> query) {
    final List<Row> rows = new ArrayList<>();
    for (final Row row : tables.getOrDefault(query.get("table"), new TreeMap<>()).values()) {
      final String from = query.getOrDefault("from", "");
      final String to = query.get("to");
      if (row.key().compareTo(from) >= 0 && (to == null || row.key().compareTo(to) < 0)) {
        rows.add(row);
      }
    }
    return page(rows);
  }

  private synchronized String feed(final Map<String, String> query) throws InterruptedException {
    final long after = Long.parseLong(query.get("after"));
    final long endMs = nowMs() + Long.parseLong(query.getOrDefault("wait_ms", "0"));
    List<Row> rows = changes(query.get("table"), after);
    while (rows.isEmpty() && nowMs() < endMs) {
      wait(Math.max(1, endMs - nowMs()));
      rows = changes(query.get("table"), after);
    }
    return page(rows);
  }

  private List<Row> changes(final String table, final long after) {
    return history.stream()
        .filter(row -> row.version() > after && row.table().equals(table))
        .toList();
  }

  private synchronized String transact(final String body) {
    final int set = body.indexOf("\"set_keys\"");
    final int remove = body.indexOf("\"remove\"");
    final Matcher sets = ROW.matcher(body.substring(set, Math.max(set, remove)));
    while (sets.find()) {
      putEncoded(sets.group(1), sets.group(2), sets.group(3));
    }
    final Matcher removals = ROW.matcher(body.substring(Math.max(0, remove)));
    while (removals.find()) {
      putEncoded(removals.group(1), removals.group(2), null);
    }
    return page(List.of());
  }

  private String page(final List<Row> rows) {
    final StringBuilder text = new StringBuilder("{\"rows\":[");
    String separator = "";
    for (final Row row : rows) {
      text.append(separator)
          .append("{\"table\":\"").append(row.table())
          .append("\",\"part\":\"\",\"key\":\"").append(row.key()).append('"');
      if (row.value() == null) {
        text.append(",\"tombstone\":true");
      } else {
        text.append(",\"value\":\"").append(row.value()).append('"');
      }
      text.append(",\"ver\":").append(row.version()).append('}');
      separator = ",";
    }
    return text.append("],\"has_more\":false,\"ver\":").append(version)
        .append(",\"now_ms\":").append(nowMs()).append('}').toString();
  }

  private long nowMs() {
    return (System.nanoTime() - startNanos) / 1_000_000;
  }

  private static void write(final OutputStream out, final int status, final String body)
      throws IOException {
    final byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
    final String head =
        "HTTP/1.1 " + status + " X\r\nContent-Type: application/json\r\nContent-Length: "
            + bytes.length + "\r\n\r\n";
    out.write(head.getBytes(StandardCharsets.ISO_8859_1));
    out.write(bytes);
    out.flush();
  }

  @Override
  public void close() throws IOException {
    server.close();
  }
}
