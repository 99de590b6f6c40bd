import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * A gateway is told to stop while it forwards streams that may be resumed. One runner preempts its
 * streams and goes on with them after a while; the others are full.
 */
final class SilentStream {

  private static final int RUNNERS = 3;
  private static final int SLOTS = 4;
  private static final int PIECES = 80;
  private static final long PIECE_MS = 50;

  /** The piece before which a runner preempts its streams. */
  private static final int PREEMPTED_AT = 30;

  /** Half of the gap of 8 x 400 ms after which clients abandon a stream. */
  private static final long PREEMPTED_MS = 1_600;

  private static final long CONTACT_MS = 3_000;
  private static final long GRACE_MS = 8_000;
  private static final long BETWEEN_STREAMS_MS = 60;

  private SilentStream() {}

  public static void main(final String[] arguments) throws Exception {
    Case.run(arguments, SilentStream::isBroken);
  }

  private static boolean isBroken(final Record record, final Path folder, final boolean trouble)
      throws IOException, InterruptedException {
    final List<Runner> runners = new ArrayList<>();
    try (Store store = new Store();
        Gateway first = new Gateway(record, folder, "front-1", store.port());
        Gateway second = new Gateway(record, folder, "front-2", store.port())) {
      store.put("op", "config", Config.text(7, 16_384, 4_194_304));
      for (int number = 0; number < RUNNERS; number++) {
        final boolean preempts = trouble && number == 0;
        final Runner runner =
            new Runner(
                record,
                "i-" + number,
                SLOTS,
                (head, body, answer) -> stream(head, answer, preempts ? PREEMPTED_MS : PIECE_MS));
        runners.add(runner);
        store.put("servers", runner.id(), runner.entry(Config.MODEL, 1_700_000_000_000L));
      }
      first.start(true);
      second.start(true);
      Thread.sleep(CONTACT_MS);
      final Queue<Long> cutMs = new ConcurrentLinkedQueue<>();
      final List<Thread> clients = new ArrayList<>();
      for (int number = 0; number < RUNNERS * SLOTS; number++) {
        final int chat = number;
        clients.add(Threads.start("client", () -> call(record, first, chat, cutMs)));
        Thread.sleep(BETWEEN_STREAMS_MS);
      }
      for (final Runner runner : runners.subList(1, RUNNERS)) {
        fillQueue(runner);
      }
      Thread.sleep(BETWEEN_STREAMS_MS);
      first.signal("TERM");
      final long stoppedMs = record.nowMs();
      for (final Thread client : clients) {
        client.join();
      }
      first.awaitEnd(10_000);
      record.add("gateway front-1: ended");
      final long lastSixthMs = stoppedMs + GRACE_MS - GRACE_MS / 6;
      final long cut = cutMs.stream().filter(atMs -> atMs < lastSixthMs).count();
      record.add(
          "%d of %d streams were cut off before the last sixth of the grace period",
          cut, RUNNERS * SLOTS);
      return cut > 0;
    } finally {
      for (final Runner runner : runners) {
        runner.close();
      }
    }
  }

  /** Calls the runner directly, as programs on its machine may, until its queue is full. */
  private static void fillQueue(final Runner runner) throws IOException, InterruptedException {
    while (runner.admitted() < SLOTS + Runner.QUEUE) {
      final Client caller = new Client("127.0.0.1", runner.port());
      Threads.start(
          "direct call",
          () ->
              caller.call(
                  "POST",
                  "/draft/2f",
                  Client.newId(),
                  60_000,
                  "X-Expect-Instance: " + runner.id() + "\r\n",
                  new byte[0]));
      Thread.sleep(BETWEEN_STREAMS_MS);
    }
  }

  private static void stream(
      final Http.Head head, final Runner.Answer answer, final long preemptedMs)
      throws IOException, InterruptedException {
    final String resumed = head.header("last-event-id");
    final int start = resumed.isEmpty() ? 0 : Integer.parseInt(resumed) + 1;
    answer.startStream();
    for (int number = start; number < PIECES; number++) {
      Thread.sleep(number == PREEMPTED_AT ? preemptedMs : PIECE_MS);
      answer.event(number);
    }
    answer.endStream();
  }

  private static void call(
      final Record record, final Gateway gateway, final int chat, final Queue<Long> cutMs) {
    try (Client client = new Client(gateway.host(), gateway.port())) {
      final Client.Answer answer =
          client.call(
              "POST",
              "/draft/2f",
              Client.newId(),
              Config.STREAM_TIMEOUT_MS,
              "X-Model: m\r\nX-Token-Usage: 400,320\r\nX-Prompt-Prefix: "
                  + Integer.toHexString(0x5c1e07 + chat) + ":400\r\n",
              new byte[0]);
      record.add("client: %s", answer);
      if (answer.status() == 200
          && !(answer.complete() && answer.body().contains("data: piece " + (PIECES - 1)))) {
        cutMs.add(record.nowMs());
      }
    } catch (IOException e) {
      record.add("client: %s", e);
    }
  }
}
