import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;

/** A runner falls silent in the middle of an event of a stream that may be resumed. */
final class TornEvent {

  private static final int STREAMS = 12;
  private static final int EVENTS = 6;
  private static final int TORN_EVENT = 3;
  private static final int RUNNERS = 8;

  /** The failing runner stops in one of this many of its requests. */
  private static final int FAILING_REQUEST_INTERVAL = 3;

  private static final long EVENT_GAP_MS = 50;
  private static final int CLIENT_TIMEOUT_MS = 8_000;

  private final AtomicReference<String> failingRunner = new AtomicReference<>();
  private final AtomicInteger failingRunnerRequests = new AtomicInteger();
  private final Record record;
  private final boolean trouble;

  private TornEvent(final Record record, final boolean trouble) {
    this.record = record;
    this.trouble = trouble;
  }

  public static void main(final String[] args) {
    Case.run(args, TornEvent::isBroken);
  }

  private static boolean isBroken(final Case played) throws IOException, InterruptedException {
    final Record record = played.record();
    final String host = played.host();
    final TornEvent test = new TornEvent(record, played.trouble());
    int broken = 0;
    try (Store store = new Store(host)) {
      store.put(
          "op",
          "config",
          Config.text(
              7,
              List.of(Config.route("draft", "streaming", "modelo", 6_000, 600, 2, true)),
              "[{\"name\":\"hule930\",\"api_keys\":[\"n2ctnfzs\"]}]"));
      final List<Runner> runners = new ArrayList<>();
      for (int index = 0; index < RUNNERS; index++) {
        final String id = "i-" + index;
        runners.add(new Runner(store, host, id, "modelo", 128, test.handler(id)));
      }
      try (Gateway gateway = Gateway.start(played.folder(), host, store.address(), 8)) {
        for (int stream = 0; stream < STREAMS; stream++) {
          broken += test.play(gateway, "req-" + stream) ? 0 : 1;
        }
      } finally {
        for (final Runner runner : runners) {
          runner.close();
        }
      }
    }
    record.log("streams: %d, broken: %d", STREAMS, broken);
    return broken > 0;
  }

  private Server.Handler handler(final String runner) {
    return (request, connection) -> {
      final String requestId = request.header("X-Request-Id");
      final String last = request.header("Last-Event-Id");
      record.log("%s runs %s, Last-Event-Id %s", runner, requestId, last);
      Runner.startStream(request, connection);
      final int from = last == null ? 0 : Integer.parseInt(last) + 1;
      final boolean tears = trouble && failsNow(runner);
      for (int event = from; event < EVENTS; event++) {
        final String text = event(requestId, event);
        if (tears && event == TORN_EVENT) {
          connection.chunk(text.substring(0, text.length() / 2));
          record.log("%s falls silent inside event %d of %s", runner, event, requestId);
          connection.socket().getInputStream().read();
          throw new IOException("closed by the gateway");
        }
        connection.chunk(text);
        Case.pause(EVENT_GAP_MS);
      }
      connection.write("0\r\n\r\n");
      record.log("%s has sent all of %s", runner, requestId);
    };
  }

  /** The runner that gets the first request fails some of its requests; all others are sound. */
  private boolean failsNow(final String runner) {
    failingRunner.compareAndSet(null, runner);
    return failingRunner.get().equals(runner)
        && failingRunnerRequests.getAndIncrement() % FAILING_REQUEST_INTERVAL == 0;
  }

  private static String event(final String requestId, final int number) {
    return "id: " + number + "\ndata: piece " + number + " of " + requestId + "\n\n";
  }

  /** Plays one stream; returns whether the client got every piece once, whole and in order. */
  private boolean play(final Gateway gateway, final String requestId) {
    final Answer answer =
        Answer.call(
            gateway,
            Config.head(
                "POST",
                "/draft/x",
                requestId,
                "Authorization: Bearer n2ctnfzs",
                "X-Deadline-Ms: 6000",
                "X-Model: m",
                "X-Token-Usage: 120,24",
                "X-Prompt-Prefix: 5c1e07a2:100,91bd3f06:20",
                "Content-Length: 0"),
            CLIENT_TIMEOUT_MS);
    final StringBuilder expected = new StringBuilder();
    for (int event = 0; event < EVENTS; event++) {
      expected.append(event(requestId, event));
    }
    final boolean sound =
        answer.status() == 200 && answer.complete()
            ? answer.body().contentEquals(expected)
            : expected.toString().startsWith(answer.body());
    record.log(
        "%s: status %d, %s, pieces %s: %s",
        requestId,
        answer.status(),
        answer.complete() ? "complete" : "broken off",
        sound ? "sound" : "NOT SOUND",
        answer.body().replace("\n", "\\n"));
    return sound;
  }
}
