package org.bulrushweir.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** Measures for how long the threads of a process were ready to run and got no processor. */
final class ProcessorWait {

  /** The share of the time from which on a process counts as starved. */
  private static final double STARVED_SHARE = 0.5;

  private long pid;
  private long waitedMs;
  private long measuredAtMs;

  /**
   * Measures since the last call.
   *
   * @param process the id of the process
   * @param threads how many threads usually run at once
   * @param nowMs the time
   * @return true if they waited for most of the time
   */
  boolean measure(final long process, final int threads, final long nowMs) {
    final long nowWaitedMs = waitedMs(process);
    final boolean starved =
        process == pid && nowWaitedMs - waitedMs > (nowMs - measuredAtMs) * threads * STARVED_SHARE;
    pid = process;
    waitedMs = nowWaitedMs;
    measuredAtMs = nowMs;
    return starved;
  }

  private static long waitedMs(final long process) {
    try (Stream<Path> tasks = Files.list(Path.of("/proc/" + process + "/task"))) {
      return TimeUnit.NANOSECONDS.toMillis(tasks.mapToLong(ProcessorWait::waitedNanos).sum());
    } catch (IOException e) {
      return 0;
    }
  }

  /** Reads the second number of the scheduler's statistics; zero if the thread has ended. */
  private static long waitedNanos(final Path task) {
    try {
      final List<String> numbers =
          List.of(Files.readString(task.resolve("schedstat")).strip().split(" "));
      return Long.parseLong(numbers.get(1));
    } catch (IOException | RuntimeException e) {
      return 0;
    }
  }
}
