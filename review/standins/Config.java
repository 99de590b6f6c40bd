import java.util.List;

/** Writes the operator's configuration. */
final class Config {

  private static final String HOST = "desk.example";

  private Config() {}

  /** Writes a route of the host {@code desk.example}. */
  static String route(
      final String name,
      final String kind,
      final String service,
      final int timeoutMs,
      final int targetMs,
      final int attempts,
      final boolean resumable) {
    return String.format(
        "{\"name\":\"%s\",\"host\":\"%s\",\"prefix\":\"/%s/\",\"kind\":\"%s\",\"timeout_ms\":%d,"
            + "\"target_latency_ms\":%d,\"priority\":1,\"service\":\"%s\",\"max_attempts\":%d,"
            + "\"public\":false,\"sticky\":%b,\"resumable\":%b}",
        name,
        HOST,
        name,
        kind,
        timeoutMs,
        targetMs,
        service,
        attempts,
        kind.equals("streaming"),
        resumable);
  }

  /** Writes a configuration; the tenants are a JSON list, empty for none. */
  static String text(final int version, final List<String> routes, final String tenants) {
    return "{\"version\":"
        + version
        + ",\"routes\":["
        + String.join(",", routes)
        + "],\"services\":[{\"name\":\"modelo\",\"health_path\":\"/health\","
        + "\"max_connections\":620,\"protocol\":\"h1\",\"tls\":false,"
        + "\"engine\":{\"slots\":128,\"kv_capacity_tokens\":427237}},"
        + "{\"name\":\"pedidos\",\"health_path\":\"/health\",\"max_connections\":100,"
        + "\"protocol\":\"h1\",\"tls\":false}],"
        + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
        + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}"
        + (tenants.isEmpty() ? "" : ",\"tenants\":" + tenants)
        + "}";
  }

  /** Writes the head of a request, up to the empty line that ends it. */
  static String head(
      final String method, final String path, final String requestId, final String... headers) {
    final StringBuilder head =
        new StringBuilder(method + " " + path + " HTTP/1.1\r\nHost: " + HOST + "\r\n");
    head.append("X-Request-Id: ").append(requestId).append("\r\n");
    for (final String line : headers) {
      head.append(line).append("\r\n");
    }
    return head.append("\r\n").toString();
  }
}
