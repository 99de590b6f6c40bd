package org.bulrushweir.kernel;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Tests that a periodic task goes on after it has failed. */
class PeriodicTaskTest {

  /** Guards against executors, which drop a periodic task for good once it throws. */
  @Test
  void taskThatFailsRunsAgain() throws InterruptedException {
    final CountDownLatch runs = new CountDownLatch(3);
    try (ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor()) {
      executor.scheduleWithFixedDelay(
          new PeriodicTask(
              "test",
              () -> {
                runs.countDown();
                throw new IllegalStateException("fails on purpose");
              }),
          0,
          1,
          TimeUnit.MILLISECONDS);
      assertTrue(runs.await(5, TimeUnit.SECONDS), "three runs must follow each other");
      executor.shutdownNow();
    }
  }
}
