import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The platform's store: rows with versions, range reads, a change feed and transactions. */
final class Store implements AutoCloseable {

  private static final Pattern WRITTEN_ROW =
      Pattern.compile(
          "\"table\":\"([^\"]*)\",\"part\":\"([^\"]*)\",\"key\":\"([^\"]*)\","
              + "\"value\":\"([^\"]*)\"");

  private record Row(String table, String key, String value, long version) {
    String json() {
      final String end =
          value == null ? ",\"tombstone\":true}" : ",\"value\":\"" + value + "\"}";
      return "{\"table\":\"" + table + "\",\"part\":\"\",\"key\":\"" + key + "\",\"ver\":" + version
          + end;
    }
  }

  private final Map<String, TreeMap<String, Row>> tables = new HashMap<>();
  private final List<Row> history = new ArrayList<>();
  private final Server server;
  private long version;

  Store(final String host) throws IOException {
    server = new Server(host, 0, this::handle);
  }

  String address() {
    return server.address();
  }

  /** Writes a row as the operator or a runner does; a null text removes it. */
  synchronized void put(final String table, final String key, final String text) {
    final String value =
        text == null
            ? null
            : Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
    write(table, key, value, ++version);
    notifyAll();
  }

  private void write(
      final String table, final String key, final String value, final long newVersion) {
    final Row row = new Row(table, key, value, newVersion);
    final TreeMap<String, Row> rows = tables.computeIfAbsent(table, name -> new TreeMap<>());
    if (value == null) {
      rows.remove(key);
    } else {
      rows.put(key, row);
    }
    history.add(row);
  }

  private void handle(final Server.Request request, final Server.Connection connection)
      throws IOException {
    final String reply =
        switch (request.path()) {
          case "/rows-get" -> read(request.query("table"));
          case "/rows-feed" ->
              follow(
                  request.query("table"),
                  Long.parseLong(request.query("after")),
                  Long.parseLong(request.query("wait_ms")));
          case "/rows-tx" -> transact(new String(request.body(), StandardCharsets.UTF_8));
          default -> null;
        };
    if (reply == null) {
      connection.reply("404 Not Found", List.of(), new byte[0]);
      return;
    }
    connection.reply(
        "200 OK",
        List.of("Content-Type: application/json"),
        reply.getBytes(StandardCharsets.UTF_8));
  }

  private synchronized String read(final String table) {
    return page(List.copyOf(tables.getOrDefault(table, new TreeMap<>()).values()));
  }

  private synchronized String follow(final String table, final long after, final long waitMs) {
    final long endNanos = System.nanoTime() + waitMs * 1_000_000;
    while (true) {
      final List<Row> changed =
          history.stream()
              .filter(row -> row.version() > after && row.table().equals(table))
              .toList();
      final long leftMs = (endNanos - System.nanoTime()) / 1_000_000;
      if (!changed.isEmpty() || leftMs <= 0) {
        return page(changed);
      }
      try {
        wait(leftMs);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return page(List.of());
      }
    }
  }

  private synchronized String transact(final String body) {
    version++;
    final Matcher row = WRITTEN_ROW.matcher(body);
    while (row.find()) {
      write(row.group(1), row.group(3), row.group(4), version);
    }
    notifyAll();
    return page(List.of());
  }

  private String page(final List<Row> rows) {
    final StringBuilder json = new StringBuilder("{\"rows\":[");
    for (final Row row : rows) {
      json.append(json.charAt(json.length() - 1) == '[' ? "" : ",").append(row.json());
    }
    return json.append("],\"has_more\":false,\"ver\":")
        .append(version)
        .append(",\"now_ms\":")
        .append(System.nanoTime() / 1_000_000)
        .append('}')
        .toString();
  }

  @Override
  public void close() throws IOException {
    server.close();
  }
}
