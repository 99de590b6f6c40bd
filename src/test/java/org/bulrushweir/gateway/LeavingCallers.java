package org.bulrushweir.gateway;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Random;
import org.bulrushweir.demo.DemoCall;
import org.bulrushweir.gateway.LeavingCaller.Ending;
import org.bulrushweir.platform.ExampleConfiguration;

/** Callers of one gateway that send requests at once, of whom most leave soon after. */
public final class LeavingCallers implements AutoCloseable {

  /** The time after which nothing may happen for a caller that has left, in milliseconds. */
  static final long LEFT_BOUND_MS = 500;

  /** The time within which callers start to send, in milliseconds. */
  private static final int MAX_PAUSE_MS = 100;

  /** The longest deadline of a caller whose deadline passes, in milliseconds. */
  private static final int MAX_DEADLINE_MS = 50;

  private static final int ANSWER_MS = 5_000;

  private final List<LeavingCaller> callers = new ArrayList<>();
  private final Random random;

  /**
   * Opens the connections of callers.
   *
   * @param port the gateway's port for callers
   * @param prefix the start of their requests' ids
   * @param count the number of callers
   * @param random chooses what they send and how they leave
   * @throws IOException if a connection can't be opened
   */
  public LeavingCallers(final int port, final String prefix, final int count, final Random random)
      throws IOException {
    this.random = random;
    for (int number = 0; number < count; number++) {
      final String id = prefix + "-" + number;
      callers.add(
          new LeavingCaller(
              port,
              random.nextBoolean() ? DemoCall.lookup(id) : DemoCall.booking(id),
              Ending.values()[random.nextInt(Ending.values().length)],
              new Random(random.nextLong())));
    }
  }

  /**
   * Returns a configuration whose routes allow more time than a hold-up and a busy machine take.
   *
   * @return the configuration as the platform keeps it
   */
  public static String patientConfiguration() {
    return ExampleConfiguration.text(2).replaceAll("\"timeout_ms\": \\d+", "\"timeout_ms\": 8000");
  }

  /**
   * Sends all requests; returns when all callers that leave have left.
   *
   * @throws InterruptedException if the thread is interrupted
   */
  public void sendAndLeave() throws InterruptedException {
    final List<Thread> threads = new ArrayList<>();
    for (final LeavingCaller caller : callers) {
      final int pauseMs = random.nextInt(MAX_PAUSE_MS);
      final int deadlineMs = 1 + random.nextInt(MAX_DEADLINE_MS);
      threads.add(Thread.ofVirtual().start(() -> send(caller, pauseMs, deadlineMs)));
    }
    for (final Thread thread : threads) {
      thread.join();
    }
  }

  private static void send(final LeavingCaller caller, final long pauseMs, final long deadlineMs) {
    try {
      Thread.sleep(pauseMs);
      caller.sendAndLeave(deadlineMs);
    } catch (IOException | InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  /**
   * Returns the answers that are wrong: callers that wait must be served, and those whose deadline
   * has passed must be told that their requests were not run.
   *
   * @return a text for each
   * @throws IOException if a connection was reset
   */
  public List<String> wrongAnswers() throws IOException {
    final List<String> wrong = new ArrayList<>();
    for (final LeavingCaller caller : callers) {
      if (caller.ending() != Ending.NONE && caller.ending() != Ending.DEADLINE) {
        continue;
      }
      final String expected = caller.ending() == Ending.NONE ? "200" : "503";
      final String status = caller.readStatus(ANSWER_MS);
      if (!expected.equals(status)) {
        wrong.add(caller.id() + ": " + status + " instead of " + expected);
      }
    }
    return wrong;
  }

  /**
   * Returns the requests that were passed on too long after their callers had left.
   *
   * @param endpoints the endpoints
   * @return their ids
   */
  public List<String> late(final Collection<TimedOrders> endpoints) {
    return callers.stream()
        .filter(caller -> caller.leftMs() > 0)
        .filter(
            caller ->
                endpoints.stream()
                    .anyMatch(
                        endpoint -> endpoint.isLate(caller.id(), caller.leftMs() + LEFT_BOUND_MS)))
        .map(LeavingCaller::id)
        .toList();
  }

  @Override
  public void close() throws IOException {
    for (final LeavingCaller caller : callers) {
      caller.close();
    }
  }
}
