package org.bulrushweir.process;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Runs the binary as a separate process. */
public final class BinaryProcess implements AutoCloseable {

  private static final long START_TIMEOUT_S = 60;
  private static final Pattern PORT = Pattern.compile("port=(\\d+)");

  private final Process process;
  private final Path log;
  private final CompletableFuture<Integer> port = new CompletableFuture<>();
  private final StringBuffer output = new StringBuffer();

  private BinaryProcess(final Process process, final Path log) {
    this.process = process;
    this.log = log;
    Thread.ofVirtual().start(this::readOutput);
  }

  /**
   * Starts the binary.
   *
   * @param log where its log goes
   * @param arguments the command and its options
   * @return the running process
   * @throws IOException if it can't be started
   */
  public static BinaryProcess start(final Path log, final String... arguments) throws IOException {
    return startWith("-Xmx128m -XX:TieredStopAtLevel=1", log, arguments);
  }

  /**
   * Starts the binary with options of the JVM.
   *
   * @param javaOptions the options, separated by spaces
   * @param log where its log goes
   * @param arguments the command and its options
   * @return the running process
   * @throws IOException if it can't be started
   */
  static BinaryProcess startWith(
      final String javaOptions, final Path log, final String... arguments) throws IOException {
    final List<String> command = new ArrayList<>();
    command.add(System.getProperty("bulrushweir.binary"));
    command.addAll(List.of(arguments));
    final ProcessBuilder builder = new ProcessBuilder(command);
    builder.environment().put("JAVA_HOME", System.getProperty("java.home"));
    builder.environment().put("BULRUSHWEIR_JAVA_OPTIONS", javaOptions);
    builder.redirectError(log.toFile());
    return new BinaryProcess(builder.start(), log);
  }

  private void readOutput() {
    try (BufferedReader reader = process.inputReader()) {
      for (String line = reader.readLine(); line != null; line = reader.readLine()) {
        output.append(line).append('\n');
        final Matcher matcher = PORT.matcher(line);
        if (line.startsWith("ready ") && matcher.find()) {
          port.complete(Integer.parseInt(matcher.group(1)));
        }
      }
    } catch (IOException e) {
      port.completeExceptionally(e);
    }
    port.completeExceptionally(new IOException("the process ended before it was ready"));
  }

  /**
   * Waits until the process is ready.
   *
   * @return the port that it says
   */
  public int awaitPort() {
    try {
      return port.get(START_TIMEOUT_S, TimeUnit.SECONDS);
    } catch (ExecutionException | TimeoutException e) {
      throw new IllegalStateException("not ready; its log:\n" + logText(), e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException(e);
    }
  }

  /**
   * Reads the log.
   *
   * @return the text so far
   */
  String logText() {
    try {
      return Files.readString(log);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /**
   * Returns what the process wrote to its standard output.
   *
   * @return the lines so far
   */
  public String outputText() {
    return output.toString();
  }

  /**
   * Returns the process id.
   *
   * @return the id
   */
  public long pid() {
    return process.pid();
  }

  /**
   * Returns whether the process runs.
   *
   * @return false if it has ended
   */
  public boolean isAlive() {
    return process.isAlive();
  }

  /** Asks the process to stop gracefully. */
  void terminate() {
    process.destroy();
  }

  /** Kills the process. */
  void kill() {
    process.destroyForcibly();
  }

  /**
   * Waits until the process has ended.
   *
   * @param timeoutMs for how long, in milliseconds
   * @return false if it still runs
   * @throws InterruptedException if the thread is interrupted
   */
  public boolean awaitEnd(final long timeoutMs) throws InterruptedException {
    return process.waitFor(timeoutMs, TimeUnit.MILLISECONDS);
  }

  /**
   * Sends a signal.
   *
   * @param signal the signal's name, for example STOP
   */
  public void signal(final String signal) {
    try {
      new ProcessBuilder("kill", "-" + signal, Long.toString(pid())).start().waitFor();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public void close() {
    process.destroyForcibly();
  }
}
