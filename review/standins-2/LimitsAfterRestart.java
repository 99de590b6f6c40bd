import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A gateway is killed and started again while clients whose requests are within the configured
 * limits come back at once.
 */
final class LimitsAfterRestart {

  private static final int CLIENTS = 96;
  private static final int MAX_HEADER_BYTES = 65_536;
  private static final int MAX_BODY_BYTES = 8_388_608;

  /** The requests of a chat, and the parts by which its prompt grows with each: up to 20 KB. */
  private static final int TURNS = 20;
  private static final int PARTS_A_TURN = 90;

  private static final long PAUSE_MS = 700;

  /** After this time a client comes back that got no answer or was not let in. */
  private static final long RETURN_MS = 20;
  private static final long CONTACT_MS = 3_000;
  private static final long JUDGED_MS = 12_000;
  private static final long RESTART_DELAY_MS = 200;

  private LimitsAfterRestart() {}

  public static void main(final String[] arguments) throws Exception {
    Case.run(arguments, LimitsAfterRestart::isBroken);
  }

  private static boolean isBroken(final Record record, final Path folder, final boolean trouble)
      throws IOException, InterruptedException {
    try (Store store = new Store();
        Runner runner = new Runner(record, "i-1", 128, (head, body, answer) -> stream(answer));
        Gateway first = new Gateway(record, folder, "front-1", store.port());
        Gateway second = new Gateway(record, folder, "front-2", store.port())) {
      store.put("op", "config", Config.text(7, MAX_HEADER_BYTES, MAX_BODY_BYTES));
      store.put("servers", runner.id(), runner.entry(Config.MODEL, 1_700_000_000_000L));
      first.start(true);
      second.start(true);
      final Balancer balancer = new Balancer(List.of(first, second));
      Thread.sleep(CONTACT_MS);
      final AtomicLong judgedFromMs = new AtomicLong(record.nowMs());
      final AtomicLong endMs = new AtomicLong(record.nowMs() + JUDGED_MS + 2 * CONTACT_MS);
      final AtomicInteger requests = new AtomicInteger();
      final AtomicInteger denied = new AtomicInteger();
      final List<Thread> clients = new ArrayList<>();
      for (int number = 0; number < CLIENTS; number++) {
        final int client = number;
        clients.add(
            Threads.start(
                "client",
                () -> {
                  call(record, balancer, client, judgedFromMs, endMs, requests, denied);
                }));
      }
      if (trouble) {
        Thread.sleep(CONTACT_MS);
        judgedFromMs.set(Long.MAX_VALUE);
        first.signal("KILL");
        first.awaitEnd(5_000);
        Thread.sleep(RESTART_DELAY_MS);
        first.start(false);
        judgedFromMs.set(record.nowMs() + CONTACT_MS);
        endMs.set(record.nowMs() + CONTACT_MS + JUDGED_MS);
      }
      for (final Thread client : clients) {
        client.join();
      }
      record.add(
          "with all machines in touch: %d requests, %d of them denied with 4xx",
          requests.get(), denied.get());
      return denied.get() > 5 + requests.get() / 500;
    }
  }

  private static void stream(final Runner.Answer answer) throws IOException, InterruptedException {
    answer.startStream();
    for (int number = 0; number < 3; number++) {
      Thread.sleep(20);
      answer.event(number);
    }
    answer.endStream();
  }

  private static void call(
      final Record record,
      final Balancer balancer,
      final int number,
      final AtomicLong judgedFromMs,
      final AtomicLong endMs,
      final AtomicInteger requests,
      final AtomicInteger denied) {
    Client client = null;
    int turn = number % TURNS;
    pause(number * PAUSE_MS / CLIENTS);
    while (record.nowMs() < endMs.get()) {
      try {
        if (client == null) {
          final Gateway gateway = balancer.choose(number);
          client = new Client(gateway.host(), gateway.port());
          record.add("client %d: connected to %s", number, gateway.name());
        }
        turn = turn % TURNS + 1;
        final long sentMs = record.nowMs();
        final Client.Answer answer =
            client.call(
                "POST",
                "/chat/2f",
                Client.newId(),
                Config.STREAM_TIMEOUT_MS,
                prompt(number, turn * PARTS_A_TURN),
                new byte[0]);
        final boolean judged = sentMs >= judgedFromMs.get();
        record.add("client %d: %s%s", number, answer, judged ? "" : " (not judged)");
        if (judged) {
          requests.incrementAndGet();
          denied.addAndGet(answer.status() >= 400 && answer.status() < 500 ? 1 : 0);
        }
        if (answer.closes()) {
          client.close();
          client = null;
        }
        pause(answer.complete() ? PAUSE_MS : RETURN_MS);
      } catch (IOException e) {
        client = null;
        pause(RETURN_MS);
      }
    }
  }

  private static void pause(final long ms) {
    try {
      Thread.sleep(ms);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static String prompt(final int chat, final int count) {
    final StringBuilder parts = new StringBuilder();
    for (int part = 0; part < count; part++) {
      parts.append(part == 0 ? "" : ",").append(String.format("%02x%06x:4", chat, part));
    }
    return "X-Model: m\r\nX-Token-Usage: " + 4 * count + ",12\r\nX-Prompt-Prefix: " + parts
        + "\r\n";
  }
}
