import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run. Times are in milliseconds since the start. */
final class Record implements AutoCloseable {

  private final long startNanos = System.nanoTime();
  private final PrintWriter out;

  Record(final Path file) {
    try {
      out = new PrintWriter(Files.newBufferedWriter(file), true);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  long nowMs() {
    return (System.nanoTime() - startNanos) / 1_000_000;
  }

  void add(final String format, final Object... values) {
    final String text = values.length == 0 ? format : String.format(format, values);
    synchronized (out) {
      out.printf("%7d %s%n", nowMs(), text);
    }
  }

  @Override
  public void close() {
    out.close();
  }
}
