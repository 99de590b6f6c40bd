package org.bulrushweir.process;

import java.util.Locale;
import java.util.Random;

/**
 * A request of {@link StopLoad}, and what came of it. Times are in Unix milliseconds, zero for what
 * did not happen.
 */
final class StopCall {

  private static final long[] DEADLINES_MS = {300, 800, 1_500, 3_000, 6_000, 20_000};
  private static final long[] CALL_TIMES_MS = {0, 5, 30, 300, 2_000, 2_500, 3_000, 60_000};
  private static final int[] EVENTS = {3, 10, 40, 120};
  private static final long[] GAPS_MS = {5, 20, 60};
  private static final String BODY = "0123456789";

  private final String id;
  private final Kind kind;
  private final long deadlineMs;
  private final String plan;
  private final int events;
  private volatile long startMs;
  private volatile long sentMs;
  private volatile long endMs;
  private volatile int status;
  private volatile boolean whole;
  private volatile boolean announcedClose;
  private volatile String body = "";
  private volatile String failure = "";

  /** The routes of the load. */
  enum Kind {
    BOOK("orders.example", 10_000, true, 0),
    BRIEF("orders.example", 1_200, true, 0),
    QUEUE("orders.example", 9_000, true, 0),
    LOOK("orders.example", 4_000, false, 0),
    SCAN("orders.example", 12_000, false, 0),
    REVIEW("chat.example", 15_000, true, 1),
    DRAFT("chat.example", 6_000, false, 1);

    private final String host;
    private final long timeoutMs;
    private final boolean unsafe;
    private final int stream;

    Kind(final String host, final long timeoutMs, final boolean unsafe, final int stream) {
      this.host = host;
      this.timeoutMs = timeoutMs;
      this.unsafe = unsafe;
      this.stream = stream;
    }

    boolean isUnsafe() {
      return unsafe;
    }

    boolean isStream() {
      return stream > 0;
    }
  }

  /**
   * Chooses a request.
   *
   * @param id its id
   * @param random chooses what is asked for
   */
  StopCall(final String id, final Random random) {
    this.id = id;
    this.kind = Kind.values()[random.nextInt(Kind.values().length)];
    this.deadlineMs = DEADLINES_MS[random.nextInt(DEADLINES_MS.length)];
    this.events = kind.isStream() ? EVENTS[random.nextInt(EVENTS.length)] : 0;
    final long callMs =
        kind == Kind.QUEUE ? 250 : CALL_TIMES_MS[random.nextInt(CALL_TIMES_MS.length)];
    final long waitMs = kind.isStream() ? 50L * random.nextInt(10) : callMs;
    final long gapMs = GAPS_MS[random.nextInt(GAPS_MS.length)];
    final boolean fails = !kind.isUnsafe() && random.nextInt(4) == 0;
    this.plan = events + "-" + waitMs + "-" + gapMs + (fails ? "-fail" : "-serve");
  }

  String id() {
    return id;
  }

  Kind kind() {
    return kind;
  }

  /** Returns the head of the request, which announces a body of {@link #body}. */
  String head() {
    final String prompt =
        kind.isStream()
            ? "X-Token-Usage: 900," + events + "\r\nX-Prompt-Prefix: 1:700,2:200\r\n"
            : "";
    return "POST /%s/%s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n"
            .formatted(kind.name().toLowerCase(Locale.ROOT), plan, kind.host, id, deadlineMs)
        + prompt
        + "Content-Length: "
        + BODY.length()
        + "\r\n\r\n";
  }

  static String body() {
    return BODY;
  }

  void started() {
    startMs = System.currentTimeMillis();
  }

  void sent() {
    sentMs = System.currentTimeMillis();
  }

  void answerStarted(final HttpText head) {
    status = Integer.parseInt(head.word(1));
    announcedClose = head.header("Connection").equalsIgnoreCase("close");
  }

  /**
   * Records that the answer is whole.
   *
   * @param received its body
   */
  void answered(final String received) {
    body = received;
    whole = true;
    endMs = System.currentTimeMillis();
  }

  /**
   * Records that there is no whole answer.
   *
   * @param reason what the caller saw
   */
  void cut(final String reason) {
    failure = reason;
    endMs = System.currentTimeMillis();
  }

  boolean isSent() {
    return sentMs > 0;
  }

  boolean isWhole() {
    return whole;
  }

  int status() {
    return status;
  }

  boolean hasAnnouncedClose() {
    return announcedClose;
  }

  long startMs() {
    return startMs;
  }

  long sentMs() {
    return sentMs;
  }

  long endMs() {
    return endMs;
  }

  /** Returns whether the time limit of the request had passed when it ended. */
  boolean isPastLimit() {
    return endMs - startMs >= Math.min(deadlineMs, kind.timeoutMs) - 20;
  }

  /** Returns whether the body is the whole one that an endpoint sends. */
  boolean hasRightBody() {
    return kind.isStream()
        ? body.lines().filter(line -> line.equals("data: " + id)).count() == events
        : body.equals(id);
  }

  @Override
  public String toString() {
    return "%s %s plan %s deadline %d: start %d sent %d end %d status %d whole %s close %s %s"
        .formatted(
            id,
            kind,
            plan,
            deadlineMs,
            startMs,
            sentMs,
            endMs,
            status,
            whole,
            announcedClose,
            failure);
  }
}
