import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** A gateway gets SIGTERM while a second request waits on a kept connection. */
final class StopWithQueue {

  private static final int CLIENTS = 5;
  private static final int CLIENT_TIMEOUT_MS = 6_000;
  private static final long SLOW_ANSWER_MS = 1_500;
  private static final long GAP_MS = 200;
  private static final long STOP_AFTER_MS = 400;
  private static final long LOSS_SLACK_MS = 200;

  private StopWithQueue() {}

  public static void main(final String[] args) {
    Case.run(args, StopWithQueue::isBroken);
  }

  private static boolean isBroken(final Case played) throws IOException, InterruptedException {
    final Record record = played.record();
    int lost = 0;
    try (Store store = new Store(played.host())) {
      store.put(
          "op",
          "config",
          Config.text(
              7,
              List.of(Config.route("look", "safe", "pedidos", 5_000, 1_500, 1, false)),
              "[{\"name\":\"hule930\",\"api_keys\":[\"n2ctnfzs\"]}]"));
      try (Runner runner =
              new Runner(
                  store,
                  played.host(),
                  "i-7f3a91c2",
                  "pedidos",
                  6,
                  (request, connection) -> {
                    final String requestId = request.header("X-Request-Id");
                    record.log("the runner runs %s", requestId);
                    if (requestId.endsWith("-1")) {
                      Case.pause(SLOW_ANSWER_MS);
                    }
                    Runner.answer(request, connection, "stock for " + requestId);
                  });
          Gateway gateway = Gateway.start(played.folder(), played.host(), store.address(), 8)) {
        record.log("runner %s is ready", runner.id());
        final Socket[] sockets = new Socket[CLIENTS];
        for (int client = 0; client < CLIENTS; client++) {
          sockets[client] = gateway.connect();
          sockets[client].setSoTimeout(CLIENT_TIMEOUT_MS);
          send(record, sockets[client], "c" + client + "-1");
        }
        Case.pause(GAP_MS);
        for (int client = 0; client < CLIENTS; client++) {
          send(record, sockets[client], "c" + client + "-2");
        }
        final long sentNanos = System.nanoTime();
        Case.pause(STOP_AFTER_MS);
        if (played.trouble()) {
          gateway.signal("TERM");
          record.log("SIGTERM");
        }
        for (int client = 0; client < CLIENTS; client++) {
          lost += countLost(record, sockets[client], "c" + client, sentNanos);
          sockets[client].close();
        }
      }
    }
    record.log("requests whose connection ended without an answer: %d", lost);
    return lost > 0;
  }

  private static int countLost(
      final Record record, final Socket socket, final String client, final long sentNanos)
      throws IOException {
    final InputStream in = new BufferedInputStream(socket.getInputStream());
    int lost = 0;
    for (int number = 1; number <= 2; number++) {
      final Answer answer = Answer.read(in);
      final long sinceMs = (System.nanoTime() - sentNanos) / 1_000_000;
      final boolean unanswered = !answer.complete() && sinceMs > LOSS_SLACK_MS;
      record.log(
          "%s-%d: %s, %d ms after the second request was sent",
          client,
          number,
          answer.complete()
              ? "status " + answer.status() + " \"" + answer.body() + "\""
              : "THE CONNECTION ENDED WITHOUT AN ANSWER",
          sinceMs);
      lost += unanswered ? 1 : 0;
    }
    return lost;
  }

  private static void send(final Record record, final Socket socket, final String requestId)
      throws IOException {
    socket
        .getOutputStream()
        .write(
            Config.head(
                    "GET",
                    "/look/" + requestId,
                    requestId,
                    "Authorization: Bearer n2ctnfzs",
                    "X-Deadline-Ms: 5000")
                .getBytes(StandardCharsets.UTF_8));
    record.log("sent %s", requestId);
  }
}
