package org.bulrushweir.process;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.ConcurrentLinkedQueue;

/** Sends requests of all kinds to a gateway, on kept and new connections, until it has ended. */
final class StopLoad {

  private static final int KEPT = 14;
  private static final int NEW = 8;
  private static final int PIPELINED = 4;
  private static final int IN_PARTS = 4;
  private static final int MAX_PAUSE_MS = 250;
  private static final int MAX_PART_PAUSE_MS = 4_000;
  private static final int READ_TIMEOUT_MS = 25_000;

  private final Queue<StopCall> calls = new ConcurrentLinkedQueue<>();
  private final List<Thread> callers = new ArrayList<>();
  private final int port;
  private volatile boolean ended;

  /** How a caller uses its connections. */
  private enum Habit {
    KEPT,
    NEW,
    PIPELINED,
    IN_PARTS
  }

  /**
   * Starts the callers.
   *
   * @param port the port of the gateway
   * @param seed determines what is sent
   */
  StopLoad(final int port, final long seed) {
    this.port = port;
    start(Habit.KEPT, KEPT, seed);
    start(Habit.NEW, NEW, seed);
    start(Habit.PIPELINED, PIPELINED, seed);
    start(Habit.IN_PARTS, IN_PARTS, seed);
  }

  private void start(final Habit habit, final int count, final long seed) {
    for (int number = 0; number < count; number++) {
      final String name = habit + "-" + number;
      final Random random = new Random(seed * 1_000_003 + name.hashCode());
      callers.add(Thread.ofVirtual().start(() -> run(name, habit, random)));
    }
  }

  private void run(final String name, final Habit habit, final Random random) {
    int number = 0;
    while (!ended) {
      try (Socket socket = new Socket("127.0.0.1", port)) {
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(READ_TIMEOUT_MS);
        boolean open = true;
        while (open && !ended) {
          final List<StopCall> batch = new ArrayList<>();
          final int size = habit == Habit.PIPELINED ? 2 + random.nextInt(2) : 1;
          for (int index = 0; index < size; index++) {
            batch.add(new StopCall(name + "-" + number, random));
            number++;
          }
          open = exchange(socket, batch, habit, random) && habit != Habit.NEW;
          Thread.sleep(random.nextInt(MAX_PAUSE_MS));
        }
      } catch (IOException e) {
        pause();
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  private static void pause() {
    try {
      Thread.sleep(20);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Sends requests on one connection and reads the answers; returns whether it stays open. */
  private boolean exchange(
      final Socket socket, final List<StopCall> batch, final Habit habit, final Random random)
      throws InterruptedException {
    calls.addAll(batch);
    int next = 0;
    try {
      for (final StopCall call : batch) {
        send(socket.getOutputStream(), call, habit, random);
      }
      while (next < batch.size()) {
        final StopCall call = batch.get(next);
        final HttpText head = HttpText.read(socket.getInputStream());
        if (head.isEmpty()) {
          throw new IOException("closed without an answer");
        }
        call.answerStarted(head);
        call.answered(head.readBody(socket.getInputStream()));
        next++;
        if (call.hasAnnouncedClose()) {
          throw new IOException("closed as announced");
        }
      }
      return true;
    } catch (IOException e) {
      batch.subList(next, batch.size()).forEach(call -> call.cut(e.getMessage()));
      return false;
    }
  }

  private static void send(
      final OutputStream output, final StopCall call, final Habit habit, final Random random)
      throws IOException, InterruptedException {
    call.started();
    final String body = StopCall.body();
    if (habit == Habit.IN_PARTS) {
      write(output, call.head() + body.substring(0, 5));
      Thread.sleep(random.nextInt(MAX_PART_PAUSE_MS));
      write(output, body.substring(5));
    } else {
      write(output, call.head() + body);
    }
    call.sent();
  }

  private static void write(final OutputStream output, final String text) throws IOException {
    output.write(text.getBytes(StandardCharsets.US_ASCII));
    output.flush();
  }

  /** Ends the callers once the gateway has ended, and returns all requests. */
  List<StopCall> end() throws InterruptedException {
    ended = true;
    for (final Thread caller : callers) {
      caller.join();
    }
    return List.copyOf(calls);
  }
}
