package org.bulrushweir.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.bulrushweir.process.BinaryProcess;
import org.bulrushweir.process.FreePort;

/** A gateway that runs as processes of the packaged binary, one after another. */
final class GatewayProcess implements SoakGateway {

  private static final Pattern RESIDENT = Pattern.compile("VmRSS:\\s+(\\d+) kB");

  private final String name;
  private final Path directory;
  private final int port;
  private final int graceMs;
  private final String ports;
  private final int platformPort;
  private volatile BinaryProcess process;
  private volatile int boot;

  /**
   * Prepares a gateway.
   *
   * @param name its name
   * @param directory takes its settings and logs
   * @param platformPort the port of the store
   * @param graceMs the time from SIGTERM to SIGKILL, in milliseconds
   * @throws IOException if there is no free port
   */
  GatewayProcess(final String name, final Path directory, final int platformPort, final int graceMs)
      throws IOException {
    this.name = name;
    this.directory = directory;
    this.port = FreePort.find();
    this.graceMs = graceMs;
    this.platformPort = platformPort;
    this.ports =
        """
        callers = "127.0.0.1:%d"
        readiness = "127.0.0.1:%d"
        metrics = "127.0.0.1:%d"
        peers = "127.0.0.1:%d"
        """
            .formatted(port, FreePort.find(), FreePort.find(), FreePort.find());
  }

  @Override
  public String name() {
    return name;
  }

  @Override
  public int port() {
    return port;
  }

  @Override
  public int boot() {
    return boot;
  }

  @Override
  public void start() throws IOException {
    final Path settings = directory.resolve(name + ".toml");
    Files.writeString(
        settings,
        """
        node = "%s"
        availability_zone = "zone-1"
        grace_ms = %d
        [listen]
        %s
        [platform]
        url = "http://127.0.0.1:%d"
        """
            .formatted(name, graceMs, ports, platformPort));
    writeLog();
    final int next = boot + 1;
    final BinaryProcess started =
        BinaryProcess.start(
            directory.resolve(name + "-" + next + ".err"),
            "gateway",
            "--settings",
            settings.toString());
    boot = next;
    process = started;
    started.awaitPort();
  }

  @Override
  public boolean isAlive() {
    return process.isAlive();
  }

  @Override
  public long pid() {
    return process.pid();
  }

  @Override
  public long memoryKb() {
    try {
      final Matcher matcher =
          RESIDENT.matcher(Files.readString(Path.of("/proc/" + process.pid() + "/status")));
      return matcher.find() ? Long.parseLong(matcher.group(1)) : 0;
    } catch (IOException e) {
      return 0;
    }
  }

  @Override
  public void signal(final String signal) {
    process.signal(signal);
  }

  @Override
  public boolean awaitEnd(final long timeoutMs) throws InterruptedException {
    return process.awaitEnd(timeoutMs);
  }

  private void writeLog() throws IOException {
    if (process != null) {
      Files.writeString(directory.resolve(name + "-" + boot + ".log"), process.outputText());
    }
  }

  @Override
  public void close() throws IOException {
    writeLog();
    if (process != null) {
      process.close();
    }
  }
}
