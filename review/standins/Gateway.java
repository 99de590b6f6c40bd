import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Pattern;

/** A gateway process, started with the command and the template of the deploy folder. */
final class Gateway implements AutoCloseable {

  private static final long START_TIMEOUT_MS = 30_000;

  private final Process process;
  private final String host;
  private final int callersPort;
  private final int readyPort;

  private Gateway(
      final Process process, final String host, final int callersPort, final int readyPort) {
    this.process = process;
    this.host = host;
    this.callersPort = callersPort;
    this.readyPort = readyPort;
  }

  /** Starts a gateway and waits until it is ready. */
  static Gateway start(final Path folder, final String host, final String store, final int graceS)
      throws IOException, InterruptedException {
    final int callers = freePort(host);
    final int ready = freePort(host);
    final int peers = freePort(host);
    final Path settings = folder.resolve("gateway.toml");
    Files.writeString(
        settings,
        render(
            Files.readString(Path.of("deploy/gateway.toml")),
            Map.of(
                "node_name", "front-zona-a-1",
                "zone", "zona-a",
                "bootstrap", "true",
                "listen.front", host + ":" + callers,
                "listen.ready_address", host + ":" + ready,
                "ip", host,
                "internal_ports.0", Integer.toString(peers),
                "platform.address", store),
            Map.of(
                "grace_s", Integer.toString(graceS),
                "retry_budget_ratio", "0.2",
                "budget_slack", "54",
                "budget_window_s", "10",
                "cap_x", "2")));
    final ProcessBuilder builder = new ProcessBuilder(command());
    builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
    builder.environment().put("BULRUSHWEIR_CONFIG", settings.toString());
    builder.redirectErrorStream(true);
    builder.redirectOutput(folder.resolve("gateway.log").toFile());
    final Gateway gateway = new Gateway(builder.start(), host, callers, ready);
    Runtime.getRuntime().addShutdownHook(new Thread(gateway.process::destroyForcibly));
    final long endNanos = System.nanoTime() + START_TIMEOUT_MS * 1_000_000;
    while (!gateway.isReady()) {
      if (System.nanoTime() > endNanos || !gateway.process.isAlive()) {
        gateway.close();
        throw new IOException("the gateway did not get ready");
      }
      Thread.sleep(100);
    }
    return gateway;
  }

  private static List<String> command() throws IOException {
    boolean inRole = false;
    for (final String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
      inRole = line.startsWith("[") ? line.equals("[roles.gateway]") : inRole;
      if (inRole && line.startsWith("run = \"")) {
        return List.of(line.substring("run = \"".length(), line.lastIndexOf('"')).split(" "));
      }
    }
    throw new IOException("deploy/system.toml has no command for the role gateway");
  }

  /** Fills the template; all of its sections stand for values that are set here. */
  private static String render(
      final String template, final Map<String, String> values, final Map<String, String> bounds) {
    String text = template.replace("{{#bounds}}", "").replace("{{/bounds}}", "");
    for (final Map.Entry<String, String> bound : bounds.entrySet()) {
      final String name = bound.getKey();
      text =
          Pattern.compile("\\{\\{#" + name + "}}(.*?)\\{\\{/" + name + "}}")
              .matcher(text)
              .replaceAll(section -> section.group(1).replace("{{.}}", bound.getValue()));
    }
    for (final Map.Entry<String, String> value : values.entrySet()) {
      text = text.replace("{{" + value.getKey() + "}}", value.getValue());
    }
    return text;
  }

  static int freePort(final String host) throws IOException {
    try (ServerSocket socket = new ServerSocket()) {
      socket.bind(new InetSocketAddress(InetAddress.getByName(host), 0));
      return socket.getLocalPort();
    }
  }

  /** Returns a loopback address that other runs are unlikely to use at the same time. */
  static String loopbackHost() {
    final long pid = ProcessHandle.current().pid();
    return "127." + (1 + pid / 60_000 % 200) + "." + (pid / 250 % 240) + "." + (2 + pid % 250);
  }

  /** Asks for readiness as the platform does; false without an answer within a second. */
  boolean isReady() {
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress(host, readyPort), 1_000);
      socket.setSoTimeout(1_000);
      socket
          .getOutputStream()
          .write(("GET /ready HTTP/1.1\r\nHost: " + host + "\r\n\r\n").getBytes());
      final String line = Server.readLine(socket.getInputStream());
      return line != null && line.contains(" 200 ");
    } catch (IOException e) {
      return false;
    }
  }

  Socket connect() throws IOException {
    final Socket socket = new Socket();
    socket.connect(new InetSocketAddress(host, callersPort), 1_000);
    socket.setTcpNoDelay(true);
    return socket;
  }

  boolean isAlive() {
    return process.isAlive();
  }

  void signal(final String name) throws IOException, InterruptedException {
    final List<String> command = new ArrayList<>(List.of("kill", "-" + name));
    command.add(Long.toString(process.pid()));
    new ProcessBuilder(command).inheritIO().start().waitFor();
  }

  @Override
  public void close() {
    process.destroyForcibly();
    try {
      process.waitFor(5, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
