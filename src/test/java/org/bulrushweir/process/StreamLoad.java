package org.bulrushweir.process;

import java.io.IOException;
import java.io.InputStream;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.LongAdder;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/** Reads many streams at once and measures how they come. */
final class StreamLoad {

  private static final long MAXIMUM_MICROS = 60_000_000;
  private static final int DIGITS = 3;

  private final Histogram firstByteMicros = new ConcurrentHistogram(MAXIMUM_MICROS, DIGITS);
  private final LongAdder events = new LongAdder();
  private final LongAdder failures = new LongAdder();
  private final HttpClient http;
  private volatile String lastFailure = "";

  StreamLoad(final HttpClient http) {
    this.http = http;
  }

  /**
   * Reads streams, each several times in a row.
   *
   * @param uri where to ask
   * @param streams how many are read at once
   * @param rounds how often each is read
   * @param tokens how many tokens each has
   * @throws InterruptedException if the thread is interrupted
   */
  void run(final URI uri, final int streams, final int rounds, final int tokens)
      throws InterruptedException {
    final AtomicInteger chats = new AtomicInteger();
    final CountDownLatch done = new CountDownLatch(streams);
    try (ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor()) {
      for (int stream = 0; stream < streams; stream++) {
        threads.execute(
            () -> {
              for (int round = 0; round < rounds; round++) {
                readOne(uri, chats.incrementAndGet(), tokens);
              }
              done.countDown();
            });
      }
      done.await();
    }
  }

  private void readOne(final URI uri, final int chat, final int tokens) {
    final String body =
        "{\"model\":\"spec-7b\",\"stream\":true,\"max_tokens\":%d,\"messages\":[{\"role\":\"user\","
            + "\"content\":\"chat %d\"}]}";
    final HttpRequest request =
        HttpRequest.newBuilder(uri)
            .header("Bulrushweir-Organisation", "org-a")
            .POST(HttpRequest.BodyPublishers.ofString(body.formatted(tokens, chat)))
            .build();
    final long startNs = System.nanoTime();
    try {
      final HttpResponse<InputStream> response =
          http.send(request, HttpResponse.BodyHandlers.ofInputStream());
      try (InputStream input = response.body()) {
        if (response.statusCode() != 200) {
          failed(new String(input.readAllBytes(), StandardCharsets.UTF_8));
          return;
        }
        count(input, startNs);
      }
    } catch (IOException e) {
      failed(e.toString());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void failed(final String reason) {
    failures.increment();
    lastFailure = reason;
  }

  /** Counts events by their data lines, looking at bytes only. */
  private void count(final InputStream input, final long startNs) throws IOException {
    final byte[] buffer = new byte[16_384];
    boolean first = true;
    int previous = 0;
    for (int length = input.read(buffer); length > 0; length = input.read(buffer)) {
      if (first) {
        first = false;
        firstByteMicros.recordValue((System.nanoTime() - startNs) / 1_000);
      }
      for (int index = 0; index < length; index++) {
        if (buffer[index] == '\n' && previous == '\n') {
          events.increment();
        }
        previous = buffer[index];
      }
    }
  }

  long events() {
    return events.sum();
  }

  long failures() {
    return failures.sum();
  }

  String lastFailure() {
    return lastFailure;
  }

  Histogram firstByteMicros() {
    return firstByteMicros;
  }
}
