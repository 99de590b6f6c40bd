import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Connections of clients are reset in the middle of streams that may be resumed, and the clients
 * resume them. The id of an event is the number of the draft, of 16 digits, times 1,000 plus the
 * number of the piece.
 */
final class LongEventIds {

  private static final int STREAMS = 32;
  private static final int RUNNERS = 3;
  private static final int SLOTS = 64;
  private static final int PIECES = 40;
  private static final long IDS_A_DRAFT = 1_000;
  private static final long PIECE_MS = 30;
  private static final long RESET_AFTER_MS = 500;
  private static final long CONTACT_MS = 3_000;
  private static final Pattern EVENT = Pattern.compile("id: (\\d+)\ndata: piece (\\d+)\n\n");

  private LongEventIds() {}

  public static void main(final String[] arguments) throws Exception {
    Case.run(arguments, LongEventIds::isBroken);
  }

  private static boolean isBroken(final Record record, final Path folder, final boolean trouble)
      throws IOException, InterruptedException {
    final List<Runner> runners = new ArrayList<>();
    try (Store store = new Store();
        Gateway first = new Gateway(record, folder, "front-1", store.port());
        Gateway second = new Gateway(record, folder, "front-2", store.port())) {
      store.put("op", "config", Config.text(7, 16_384, 4_194_304));
      for (int number = 0; number < RUNNERS; number++) {
        final Runner runner =
            new Runner(record, "i-" + number, SLOTS, (head, body, answer) -> stream(head, answer));
        runners.add(runner);
        store.put("servers", runner.id(), runner.entry(Config.MODEL, 1_700_000_000_000L));
      }
      first.start(true);
      second.start(true);
      Thread.sleep(CONTACT_MS);
      try (Proxy proxy = new Proxy(first.host(), first.port())) {
        final Queue<String> faults = new ConcurrentLinkedQueue<>();
        final AtomicInteger whole = new AtomicInteger();
        final List<Thread> clients = new ArrayList<>();
        for (int number = 0; number < STREAMS; number++) {
          final int chat = number;
          clients.add(Threads.start("client", () -> call(record, proxy, chat, faults, whole)));
        }
        Thread.sleep(RESET_AFTER_MS);
        if (trouble) {
          record.add("half of the connections of clients are reset");
          proxy.resetHalf();
        }
        for (final Thread client : clients) {
          client.join();
        }
        record.add(
            "%d of %d streams ended as complete without a piece; %d were whole",
            faults.size(), STREAMS, whole.get());
        return !faults.isEmpty();
      }
    } finally {
      for (final Runner runner : runners) {
        runner.close();
      }
    }
  }

  /** Streams the pieces behind the event that the client has. */
  private static void stream(final Http.Head head, final Runner.Answer answer)
      throws IOException, InterruptedException {
    final String path = head.target();
    final long firstId = IDS_A_DRAFT * Long.parseLong(path.substring(path.lastIndexOf('/') + 1));
    final String has = head.header("last-event-id");
    final int next = has.isEmpty() ? 0 : (int) (Long.parseLong(has) - firstId) + 1;
    answer.startStream();
    for (int number = next; number < PIECES; number++) {
      Thread.sleep(PIECE_MS);
      answer.event(firstId + number, number);
    }
    answer.endStream();
  }

  private static void call(
      final Record record,
      final Proxy proxy,
      final int chat,
      final Queue<String> faults,
      final AtomicInteger whole) {
    final long draft = TimeUnit.MILLISECONDS.toMicros(System.currentTimeMillis()) + chat;
    final List<Integer> pieces = new ArrayList<>();
    String last = "";
    boolean complete = false;
    for (int attempt = 0; attempt < 3 && !complete; attempt++) {
      try (Client client = new Client("127.0.0.1", proxy.port())) {
        final Client.Answer answer =
            client.call(
                "POST",
                "/draft/" + draft,
                Client.newId(),
                Config.STREAM_TIMEOUT_MS,
                "X-Model: m\r\nX-Token-Usage: 400,160\r\nX-Prompt-Prefix: "
                    + Integer.toHexString(0x5c1e07 + chat) + ":400\r\n"
                    + (last.isEmpty() ? "" : "Last-Event-Id: " + last + "\r\n"),
                new byte[0]);
        record.add(
            "client %d: %s%s", chat, answer, last.isEmpty() ? "" : ", resumed after " + last);
        final Matcher events = EVENT.matcher(answer.body());
        while (events.find()) {
          last = events.group(1);
          pieces.add(Integer.parseInt(events.group(2)));
        }
        complete = answer.status() == 200 && answer.complete();
      } catch (IOException e) {
        record.add("client %d: %s", chat, e);
      }
    }
    record.add("client %d: has pieces %s", chat, pieces);
    if (!complete) {
      return;
    }
    boolean inOrder = pieces.size() == PIECES;
    for (int number = 0; inOrder && number < PIECES; number++) {
      inOrder = pieces.get(number) == number;
    }
    if (inOrder) {
      whole.incrementAndGet();
    } else {
      faults.add("client " + chat);
    }
  }
}
