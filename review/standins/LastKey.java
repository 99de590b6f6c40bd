import java.io.IOException;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** The operator takes away the last key of a configuration with tenants. */
final class LastKey {

  private static final long APPLY_MS = 2_000;
  private static final long MARGIN_MS = 1_000;
  private static final int CLIENT_TIMEOUT_MS = 3_000;
  private static final String KEY = "n2ctnfzs989anu6wsjnb";

  private LastKey() {}

  public static void main(final String[] args) {
    Case.run(args, LastKey::isBroken);
  }

  private static boolean isBroken(final Case played) throws IOException, InterruptedException {
    final Record record = played.record();
    final Set<String> runs = ConcurrentHashMap.newKeySet();
    try (Store store = new Store(played.host())) {
      store.put("op", "config", config(7, "\"" + KEY + "\""));
      try (Runner runner =
              new Runner(
                  store,
                  played.host(),
                  "i-7f3a91c2",
                  "pedidos",
                  6,
                  (request, connection) -> {
                    final String requestId = request.header("X-Request-Id");
                    runs.add(requestId);
                    record.log("the runner runs %s, X-Tenant %s", requestId,
                        request.header("X-Tenant"));
                    Runner.answer(request, connection, "booked");
                  });
          Gateway gateway =
              Gateway.start(played.folder(), played.host(), store.address(), 8)) {
        record.log("runner %s is ready", runner.id());
        send(gateway, record, "before-with-key", KEY);
        send(gateway, record, "before-unknown-key", "x9x9x9x9x9x9x9x9x9x9");
        send(gateway, record, "before-no-key", "");
        store.put("op", "config", config(11, played.trouble() ? "" : "\"" + KEY + "\""));
        record.log(
            "version 11 is confirmed; it %s the key", played.trouble() ? "drops" : "keeps");
        Case.pause(APPLY_MS + MARGIN_MS);
        send(gateway, record, "after-with-key", KEY);
        send(gateway, record, "after-unknown-key", "x9x9x9x9x9x9x9x9x9x9");
        send(gateway, record, "after-no-key", "");
      }
    }
    if (!runs.contains("before-with-key")) {
      throw new IOException("the request with the key did not run before the change");
    }
    runs.remove("before-with-key");
    if (!played.trouble()) {
      runs.remove("after-with-key");
    }
    record.log("requests that ran without a valid key: %s", runs);
    return !runs.isEmpty();
  }

  private static String config(final int version, final String keys) {
    return Config.text(
        version,
        List.of(Config.route("book", "unsafe", "pedidos", 1_200, 150, 1, false)),
        "[{\"name\":\"hule930\",\"api_keys\":[" + keys + "]}]");
  }

  private static void send(
      final Gateway gateway, final Record record, final String requestId, final String key) {
    final Answer answer =
        Answer.call(
            gateway,
            Config.head(
                "POST",
                "/book/2f",
                requestId,
                key.isEmpty() ? "Accept: */*" : "Authorization: Bearer " + key,
                "X-Deadline-Ms: 2500",
                "Content-Length: 0"),
            CLIENT_TIMEOUT_MS);
    record.log("%s: status %d %s", requestId, answer.status(), answer.body());
  }
}
