import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Runners crash, one after the other, while they read two long prompts of many parts. */
final class CrashingPrompts {

  /** More parts than the gateway's quarantine holds. */
  private static final int PARTS = 66;

  private static final int CRASHES_PER_PROMPT = 5;
  private static final int RUNNERS = 6;
  private static final int CHAT_TIMEOUT_MS = 5_000;
  private static final int BOOKING_TIMEOUT_MS = 1_200;
  private static final int PAST_TIMEOUT_MS = 500;
  private static final long RESTART_MS = 1_000;
  private static final long CRASH_INTERVAL_MS = 2_000;
  private static final long SETTLE_MS = 1_000;
  private static final int BOOKINGS = 24;
  private static final long BOOKING_INTERVAL_MS = 250;
  private static final int MIN_UNANSWERED = 8;

  private CrashingPrompts() {}

  public static void main(final String[] args) {
    Case.run(args, CrashingPrompts::isBroken);
  }

  private static boolean isBroken(final Case played) throws IOException, InterruptedException {
    final Record record = played.record();
    final Runner[] engines = new Runner[RUNNERS];
    final AtomicInteger crashes = new AtomicInteger();
    final AtomicInteger late = new AtomicInteger();
    final AtomicInteger unanswered = new AtomicInteger();
    int notReady = 0;
    try (Store store = new Store(played.host())) {
      store.put(
          "op",
          "config",
          Config.text(
              7,
              List.of(
                  Config.route("chat", "streaming", "modelo", CHAT_TIMEOUT_MS, 600, 1, false),
                  Config.route("book", "unsafe", "pedidos", BOOKING_TIMEOUT_MS, 150, 1, false)),
              "[{\"name\":\"hule930\",\"api_keys\":[\"n2ctnfzs\"]}]"));
      for (int index = 0; index < RUNNERS; index++) {
        final int number = index;
        engines[index] =
            new Runner(
                store,
                played.host(),
                "i-" + index,
                "modelo",
                128,
                (request, connection) -> {
                  final String requestId = request.header("X-Request-Id");
                  record.log("runner i-%d runs %s", number, requestId);
                  if (played.trouble()) {
                    record.log("runner i-%d crashes", number);
                    crashes.incrementAndGet();
                    engines[number].crash();
                    Thread.ofVirtual().start(() -> restart(engines[number], record));
                    return;
                  }
                  Runner.startStream(request, connection);
                  connection.chunk("id: 0\ndata: piece of " + requestId + "\n\n");
                  connection.write("0\r\n\r\n");
                });
      }
      try (Runner orders =
              new Runner(
                  store,
                  played.host(),
                  "i-orders",
                  "pedidos",
                  6,
                  (request, connection) -> {
                    record.log("the order runner runs %s", request.header("X-Request-Id"));
                    Runner.answer(request, connection, "booked");
                  });
          Gateway gateway =
              Gateway.start(played.folder(), played.host(), store.address(), 8)) {
        record.log("runner %s is ready", orders.id());
        for (int prompt = 0; prompt < 2; prompt++) {
          for (int turn = 0; turn < CRASHES_PER_PROMPT; turn++) {
            chat(gateway, record, "chat-" + prompt + "-" + turn, parts(prompt));
            Case.pause(CRASH_INTERVAL_MS);
          }
        }
        Case.pause(SETTLE_MS);
        final List<Thread> clients = new ArrayList<>();
        for (int number = 0; number < BOOKINGS; number++) {
          final String requestId = "booking-" + number;
          clients.add(
              Thread.ofVirtual().start(() -> book(gateway, record, requestId, late, unanswered)));
          Case.pause(BOOKING_INTERVAL_MS);
          if (number % 6 == 0) {
            final boolean ready = gateway.isReady();
            notReady += ready ? 0 : 1;
            record.log("/ready: %s", ready ? "200" : "no 200 within a second");
          }
        }
        for (final Thread client : clients) {
          client.join();
        }
        record.log("the gateway's process %s", gateway.isAlive() ? "lives" : "has ended");
      } finally {
        for (final Runner engine : engines) {
          engine.close();
        }
      }
    }
    record.log(
        "crashes %d; of %d bookings %d were unanswered at timeout_ms and %d half a second later;"
            + " %d times not ready",
        crashes.get(), BOOKINGS, late.get(), unanswered.get(), notReady);
    return unanswered.get() >= MIN_UNANSWERED && 2 * unanswered.get() > late.get();
  }

  private static void restart(final Runner runner, final Record record) {
    Case.pause(RESTART_MS);
    try {
      runner.start();
      record.log("runner %s is back", runner.id());
    } catch (IOException e) {
      record.log("runner %s could not restart: %s", runner.id(), e);
    }
  }

  private static String parts(final int prompt) {
    final StringBuilder parts = new StringBuilder();
    for (int index = 0; index < PARTS; index++) {
      parts.append(index == 0 ? "" : ",").append(Integer.toHexString(1_000 * (prompt + 1) + index));
      parts.append(":20");
    }
    return parts.toString();
  }

  private static void chat(
      final Gateway gateway, final Record record, final String requestId, final String parts) {
    final Answer answer =
        Answer.call(
            gateway,
            Config.head(
                "POST",
                "/chat/x",
                requestId,
                "Authorization: Bearer n2ctnfzs",
                "X-Deadline-Ms: " + CHAT_TIMEOUT_MS,
                "X-Model: m",
                "X-Token-Usage: 1400,40",
                "X-Prompt-Prefix: " + parts,
                "Content-Length: 0"),
            CHAT_TIMEOUT_MS + PAST_TIMEOUT_MS);
    record.log("%s: status %d", requestId, answer.status());
  }

  private static void book(
      final Gateway gateway,
      final Record record,
      final String requestId,
      final AtomicInteger late,
      final AtomicInteger unanswered) {
    final long startNanos = System.nanoTime();
    record.log("sent %s", requestId);
    final Answer answer =
        Answer.call(
            gateway,
            Config.head(
                "POST",
                "/book/x",
                requestId,
                "Authorization: Bearer n2ctnfzs",
                "X-Deadline-Ms: 2500",
                "Content-Length: 0"),
            BOOKING_TIMEOUT_MS + PAST_TIMEOUT_MS);
    final long tookMs = (System.nanoTime() - startNanos) / 1_000_000;
    late.addAndGet(answer.status() == 0 || tookMs > BOOKING_TIMEOUT_MS ? 1 : 0);
    unanswered.addAndGet(answer.status() == 0 ? 1 : 0);
    record.log(
        "%s: %s after %d ms",
        requestId, answer.status() == 0 ? "NO ANSWER" : "status " + answer.status(), tookMs);
  }
}
