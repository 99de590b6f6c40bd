package org.bulrushweir.soak;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.util.Random;

/** Writes the answer of a run. */
final class RunWriter {

  private static final int MAX_WORK_MS = 60;
  private static final int LONG_WORK_MS = 700;
  private static final int MAX_GAP_MS = 60;
  private static final int SMALL_BODY = 150;
  private static final int MAX_BODY = 3_000;
  private static final int LARGE_BODY = 120_000;

  /** One in so many answers takes long or is large. */
  private static final int RARE = 20;

  private final ByteArrayOutputStream written = new ByteArrayOutputStream();
  private final Socket socket;
  private final EndpointRun run;
  private final EndpointMode mode;
  private final Random random;
  private final Stutter stutter;
  private final History history;

  /**
   * Prepares an answer.
   *
   * @param socket where it is written
   * @param run the run
   * @param mode how the endpoint answers
   * @param random chooses lengths and times
   * @param stutter repeats the answer
   * @param history takes the answer
   */
  RunWriter(
      final Socket socket,
      final EndpointRun run,
      final EndpointMode mode,
      final Random random,
      final Stutter stutter,
      final History history) {
    this.socket = socket;
    this.run = run;
    this.mode = mode;
    this.random = random;
    this.stutter = stutter;
    this.history = history;
  }

  /**
   * Answers.
   *
   * @param lastEvent the last event that the caller has, empty for a whole answer
   * @return false if the connection is not to be used any more
   * @throws IOException if the connection breaks
   */
  boolean write(final String lastEvent) throws IOException {
    pause(random.nextInt(RARE) == 0 ? LONG_WORK_MS : random.nextInt(MAX_WORK_MS));
    if (mode == EndpointMode.SILENT) {
      return socket.getInputStream().read() >= 0;
    }
    if (mode == EndpointMode.RESET) {
      reset();
      return false;
    }
    stutter.writeCopy();
    final boolean failing =
        mode == EndpointMode.ERROR
            || mode == EndpointMode.REFUSE_UNPROVEN
            || mode == EndpointMode.STUTTER && random.nextInt(4) == 0;
    final boolean tainted = stutter.isTainted();
    final boolean whole =
        run.request().traffic().isStream() && !failing ? stream(lastEvent) : call(failing);
    if (!whole) {
      return false;
    }
    if (!failing && !tainted) {
      run.answerWritten();
    }
    if (mode == EndpointMode.STUTTER) {
      stutter.repeat(written.toByteArray());
    }
    return true;
  }

  private boolean call(final boolean failing) throws IOException {
    final int failure = mode == EndpointMode.REFUSE_UNPROVEN ? 503 : 500;
    final Answer answer = answer(failing ? failure : 200, body());
    final byte[] bytes = AnswerBytes.call(answer, false);
    if (mode == EndpointMode.CUT) {
      send(bytes, 1 + random.nextInt(bytes.length - 1));
      reset();
      return false;
    }
    send(bytes, bytes.length);
    return true;
  }

  private String body() {
    final int length =
        random.nextInt(RARE) == 0
            ? LARGE_BODY
            : random.nextInt(random.nextBoolean() ? MAX_BODY : SMALL_BODY);
    final String line = "the answer of " + run.name() + " to " + run.request().id() + "\n";
    return line + line.repeat(length / line.length());
  }

  private Answer answer(final int status, final String body) {
    final Answer answer = new Answer(run.name(), run.request().id(), run, status, body);
    history.answered(answer);
    return answer;
  }

  private boolean stream(final String lastEvent) throws IOException {
    final CallerRequest request = run.request();
    final int first = lastEvent.isEmpty() ? 0 : Integer.parseInt(lastEvent) + 1;
    final int cutAt =
        mode == EndpointMode.CUT
            ? first + random.nextInt(Math.max(1, request.events() - first))
            : Integer.MAX_VALUE;
    final byte[] head = AnswerBytes.streamHead(answer(200, ""));
    send(head, head.length);
    for (int number = first; number < request.events(); number++) {
      pause(random.nextInt(MAX_GAP_MS));
      final byte[] chunk = AnswerBytes.chunk(EventCheck.event(number, request, run.name()));
      if (number == cutAt) {
        send(chunk, random.nextInt(chunk.length));
        reset();
        return false;
      }
      send(chunk, chunk.length);
    }
    final byte[] end = AnswerBytes.chunk("");
    send(end, end.length);
    return true;
  }

  private void send(final byte[] bytes, final int length) throws IOException {
    socket.getOutputStream().write(bytes, 0, length);
    written.write(bytes, 0, length);
  }

  private void reset() throws IOException {
    if (random.nextBoolean()) {
      socket.setSoLinger(true, 0);
    }
    socket.close();
  }

  private static void pause(final long pauseMs) throws IOException {
    try {
      Thread.sleep(pauseMs);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException(e);
    }
  }
}
