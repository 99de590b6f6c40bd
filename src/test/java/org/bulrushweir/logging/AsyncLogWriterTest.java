package org.bulrushweir.logging;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/** Tests that logging is bounded and never blocks. */
class AsyncLogWriterTest {

  private static final int CAPACITY = 100;

  @Test
  void linesAreWrittenInOrder() {
    final ByteArrayOutputStream output = new ByteArrayOutputStream();
    try (AsyncLogWriter writer = new AsyncLogWriter(new PrintStream(output), CAPACITY)) {
      writer.offer(() -> "one");
      writer.offer(() -> "two");
    }
    assertEquals("one\ntwo\n", output.toString(StandardCharsets.UTF_8));
  }

  @Test
  void readerThatHangsBlocksNobodyAndDroppedLinesAreCounted() {
    final CountDownLatch release = new CountDownLatch(1);
    final ByteArrayOutputStream read = new ByteArrayOutputStream();
    final OutputStream hanging =
        new OutputStream() {
          @Override
          public void write(final int value) {
            await();
            read.write(value);
          }

          @Override
          public void write(final byte[] bytes, final int from, final int count) {
            await();
            read.write(bytes, from, count);
          }

          private void await() {
            try {
              release.await();
            } catch (InterruptedException e) {
              Thread.currentThread().interrupt();
            }
          }
        };
    final AsyncLogWriter writer = new AsyncLogWriter(new PrintStream(hanging), CAPACITY);
    Assertions.assertTimeoutPreemptively(
        Duration.ofSeconds(5),
        () -> {
          for (int number = 0; number < 50 * CAPACITY; number++) {
            writer.offer(() -> "line");
          }
        });
    assertTrue(writer.dropped() >= 48L * CAPACITY, "dropped: " + writer.dropped());
    release.countDown();
    writer.close();
    assertTrue(read.toString(StandardCharsets.UTF_8).contains("log_lines_dropped"));
  }
}
