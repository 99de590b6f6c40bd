import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** A gateway freezes and wakes while requests wait on a kept connection. */
final class Overtaken {

  private static final int ROUNDS = 3;
  private static final int CLIENT_TIMEOUT_MS = 6_000;
  private static final long SLOW_ANSWER_MS = 1_200;
  private static final long GAP_MS = 200;

  private Overtaken() {}

  public static void main(final String[] args) {
    Case.run(args, Overtaken::isBroken);
  }

  private static boolean isBroken(final Case played) throws IOException, InterruptedException {
    final Record record = played.record();
    int foreign = 0;
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
                    record.log("the runner has answered %s", requestId);
                  });
          Gateway gateway =
              Gateway.start(played.folder(), played.host(), store.address(), 8)) {
        record.log("runner %s is ready", runner.id());
        for (int round = 0; round < ROUNDS; round++) {
          foreign += play(played, gateway, "r" + round);
        }
      }
    }
    record.log("answers in the place of another request's: %d", foreign);
    return foreign > 0;
  }

  /** Plays one round; returns how many answers came in the place of another request's. */
  private static int play(final Case played, final Gateway gateway, final String round)
      throws IOException, InterruptedException {
    int foreign = 0;
    try (Socket socket = gateway.connect()) {
      socket.setSoTimeout(CLIENT_TIMEOUT_MS);
      send(played, socket, round + "-1");
      Case.pause(GAP_MS);
      send(played, socket, round + "-2");
      Case.pause(GAP_MS);
      if (played.trouble()) {
        gateway.signal("STOP");
        played.record().log("the gateway is stopped");
      }
      Case.pause(SLOW_ANSWER_MS);
      send(played, socket, round + "-3");
      Case.pause(GAP_MS);
      if (played.trouble()) {
        gateway.signal("CONT");
        played.record().log("the gateway goes on");
      }
      final InputStream in = new BufferedInputStream(socket.getInputStream());
      for (int number = 1; number <= 3; number++) {
        final Answer answer = Answer.read(in);
        final String requestId = round + "-" + number;
        final boolean own = answer.body().equals("stock for " + requestId);
        played
            .record()
            .log(
                "answer %d: status %d, X-Request-Id %s, \"%s\"%s",
                number,
                answer.status(),
                answer.header("X-Request-Id"),
                answer.body(),
                own ? "" : " IN THE PLACE OF " + requestId);
        foreign += answer.status() == 200 && !own ? 1 : 0;
      }
    }
    return foreign;
  }

  private static void send(final Case played, final Socket socket, final String requestId)
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
    played.record().log("sent %s", requestId);
  }
}
