package org.bulrushweir.process;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Runs a gateway with the memory limits of the deploy file. */
final class DeployedGateway implements AutoCloseable {

  private static final Path DEPLOY_FILE = Path.of("deploy/system.toml");
  private static final Pattern RUN = Pattern.compile("(?m)^run = \"(\\S+) (.*) -jar ");
  private static final Pattern PEAK = Pattern.compile("(?m)^VmHWM:\\s+(\\d+) kB$");

  private final BinaryProcess process;
  private final int callersPort;

  /**
   * Starts a gateway.
   *
   * @param directory for its settings and log
   * @param platformPort the port of the platform
   * @throws Exception if it can't be started
   */
  DeployedGateway(final Path directory, final int platformPort) throws Exception {
    this(directory, platformPort, FreePort.find());
  }

  /**
   * Starts a gateway.
   *
   * @param directory for its settings and log
   * @param platformPort the port of the platform
   * @param callersPort the port for callers
   * @throws Exception if it can't be started
   */
  DeployedGateway(final Path directory, final int platformPort, final int callersPort)
      throws Exception {
    this.callersPort = callersPort;
    final Path settings =
        Files.writeString(
            directory.resolve("gateway.toml"),
            """
            node = "gateway-1"
            availability_zone = "zone-1"
            grace_ms = 2000
            [listen]
            callers = "127.0.0.1:%d"
            readiness = "127.0.0.1:%d"
            metrics = "127.0.0.1:%d"
            peers = "127.0.0.1:%d"
            [platform]
            url = "http://127.0.0.1:%d"
            """
                .formatted(
                    callersPort, FreePort.find(), FreePort.find(), FreePort.find(), platformPort));
    process =
        BinaryProcess.startWith(
            javaOptions(),
            directory.resolve("gateway.log"),
            "gateway",
            "--settings",
            settings.toString());
    process.awaitPort();
  }

  /** Returns the JVM options of the deploy file, without the archive of a built image. */
  private static String javaOptions() throws IOException {
    final Matcher run = RUN.matcher(Files.readString(DEPLOY_FILE));
    if (!run.find()) {
      throw new IOException("no run line in " + DEPLOY_FILE);
    }
    final List<String> options = new ArrayList<>(Arrays.asList(run.group(2).split(" ")));
    options.removeIf(option -> option.startsWith("-XX:SharedArchiveFile"));
    return String.join(" ", options);
  }

  /**
   * Returns the port for callers.
   *
   * @return the port on loopback
   */
  int callersPort() {
    return callersPort;
  }

  /**
   * Sends a signal to the process.
   *
   * @param name the signal's name
   */
  void signal(final String name) {
    process.signal(name);
  }

  /**
   * Returns the largest amount of memory that the process has used.
   *
   * @return the peak of its resident memory, in kilobytes
   * @throws IOException if the process has ended
   */
  long peakKilobytes() throws IOException {
    final Matcher peak =
        PEAK.matcher(Files.readString(Path.of("/proc/" + process.pid() + "/status")));
    if (!peak.find()) {
      throw new IOException("the process has ended");
    }
    return Long.parseLong(peak.group(1));
  }

  /**
   * Reads what the process has written.
   *
   * @return its log and its output so far
   */
  String logText() {
    return process.logText() + process.outputText();
  }

  @Override
  public void close() {
    process.close();
  }
}
