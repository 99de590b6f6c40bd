import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run, with milliseconds since the start. */
final class Record implements AutoCloseable {

  private final long startNanos = System.nanoTime();
  private final PrintWriter file;

  Record(final Path path) throws IOException {
    file = new PrintWriter(Files.newBufferedWriter(path));
  }

  synchronized void log(final String format, final Object... values) {
    final long nowMs = (System.nanoTime() - startNanos) / 1_000_000;
    file.printf("%6d ms  %s%n", nowMs, String.format(format, values));
    file.flush();
  }

  @Override
  public void close() {
    file.close();
  }
}
