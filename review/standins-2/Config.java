/** The configuration of a small deployment: a model service and one of bookings. */
final class Config {

  static final String KEY = "n2ctnfzs989anu6wsjnb";
  static final String MODEL = "modelo";
  static final String BOOKINGS = "pedidos";
  static final int STREAM_TIMEOUT_MS = 8_000;
  static final int CALL_TIMEOUT_MS = 1_200;

  private Config() {}

  static String text(final int version, final int maxHeaderBytes, final int maxBodyBytes) {
    return "{\"version\":" + version + ",\"routes\":["
        + route("r-draft", "/draft/", "streaming", STREAM_TIMEOUT_MS, 600, MODEL, 2, true)
        + "," + route("r-chat", "/chat/", "streaming", STREAM_TIMEOUT_MS, 600, MODEL, 1, false)
        + "," + route("r-booking", "/booking/", "unsafe", CALL_TIMEOUT_MS, 150, BOOKINGS, 1, false)
        + "," + route("r-lookup", "/lookup/", "safe", CALL_TIMEOUT_MS, 150, BOOKINGS, 2, false)
        + "],\"services\":["
        + "{\"name\":\"" + MODEL + "\",\"health_path\":\"/health\",\"max_connections\":620,"
        + "\"protocol\":\"h1\",\"tls\":false,"
        + "\"engine\":{\"slots\":128,\"kv_capacity_tokens\":427237,\"models\":[{\"name\":\"m\"}]}},"
        + "{\"name\":\"" + BOOKINGS + "\",\"health_path\":\"/health\",\"max_connections\":100,"
        + "\"protocol\":\"h1\",\"tls\":false}],"
        + "\"limits\":{\"max_header_bytes\":" + maxHeaderBytes + ",\"max_body_bytes\":"
        + maxBodyBytes + ",\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
        + "\"tenants\":[{\"name\":\"hule930\",\"api_keys\":[\"" + KEY + "\"],\"priority\":1}]}";
  }

  private static String route(
      final String name,
      final String prefix,
      final String kind,
      final int timeoutMs,
      final int targetMs,
      final String service,
      final int attempts,
      final boolean resumable) {
    return "{\"name\":\"" + name + "\",\"host\":\"desk.example\",\"prefix\":\"" + prefix
        + "\",\"kind\":\"" + kind + "\",\"timeout_ms\":" + timeoutMs
        + ",\"target_latency_ms\":" + targetMs + ",\"priority\":1,\"service\":\"" + service
        + "\",\"max_attempts\":" + attempts + ",\"public\":false,\"sticky\":"
        + service.equals(MODEL) + ",\"resumable\":" + resumable
        + (kind.equals("streaming") ? ",\"gap_aim_ms\":400" : "") + "}";
  }
}
