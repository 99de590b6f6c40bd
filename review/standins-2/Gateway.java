import java.io.File;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A gateway that is started as the deploy file says, with the settings of a small deployment. */
final class Gateway implements AutoCloseable {

  private static final Pattern RUN = Pattern.compile("(?m)^run = \"(.*)\"$");
  private static final Pattern PLACE = Pattern.compile("\\{\\{([^}]*)}}");
  private static final long START_MS = 20_000;
  private static final int METRICS_PORT = 9464;
  private static final int HOST_ATTEMPTS = 20;

  private final Record record;
  private final String name;
  private final Path folder;
  private final String host;
  private final int callersPort;
  private final int statusPort;
  private final Map<String, String> fields;
  private Process process;

  Gateway(
      final Record record,
      final Path folder,
      final String name,
      final int storePort)
      throws IOException {
    this.record = record;
    this.folder = folder;
    this.name = name;
    this.host = freeHost();
    this.callersPort = freePort(host);
    this.statusPort = freePort(host);
    Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    this.fields =
        Map.ofEntries(
            Map.entry("node_name", name),
            Map.entry("zone", "zona-a"),
            Map.entry("bounds.grace_s", "8"),
            Map.entry("listen.front", host + ":" + callersPort),
            Map.entry("listen.ready_address", host + ":" + statusPort),
            Map.entry("ip", host),
            Map.entry("internal_ports.0", Integer.toString(freePort(host))),
            Map.entry("platform.address", "127.0.0.1:" + storePort),
            Map.entry("bounds.retry_budget_ratio", "0.2"),
            Map.entry("bounds.budget_slack", "54"),
            Map.entry("bounds.budget_window_s", "10"),
            Map.entry("bounds.cap_x", "2"));
  }

  /** Returns a loopback address of its own, as the template fixes the port for metrics. */
  private static String freeHost() throws IOException {
    for (int attempt = 0; attempt < HOST_ATTEMPTS; attempt++) {
      final ThreadLocalRandom random = ThreadLocalRandom.current();
      final String candidate =
          "127." + random.nextInt(1, 255) + "." + random.nextInt(255) + "." + random.nextInt(2, 255);
      try (ServerSocket socket =
          new ServerSocket(METRICS_PORT, 1, InetAddress.getByName(candidate))) {
        return socket.getInetAddress().getHostAddress();
      } catch (IOException e) {
        // Another program uses the port there.
      }
    }
    throw new IOException("no loopback address with a free port " + METRICS_PORT);
  }

  private static int freePort(final String host) throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(host))) {
      return socket.getLocalPort();
    }
  }

  String host() {
    return host;
  }

  int port() {
    return callersPort;
  }

  String name() {
    return name;
  }

  /** Starts the process and waits until it says that it is ready. */
  void start(final boolean first) throws IOException, InterruptedException {
    launch(first);
    final long endMs = record.nowMs() + START_MS;
    while (!isReady()) {
      if (record.nowMs() > endMs || !process.isAlive()) {
        throw new IOException("gateway " + name + " does not become ready");
      }
      Thread.sleep(50);
    }
    record.add("gateway %s: ready", name);
  }

  /** Starts the process; the first time, with the whole system. */
  void launch(final boolean first) throws IOException {
    final String deploy = Files.readString(Path.of("deploy/system.toml"));
    final Matcher run = RUN.matcher(deploy);
    if (!run.find()) {
      throw new IOException("the deploy file names no program");
    }
    final Path settings = folder.resolve(name + ".conf");
    Files.writeString(settings, fill(Files.readString(Path.of("deploy/gateway.toml")), first));
    final List<String> words = new ArrayList<>(List.of(run.group(1).split(" ")));
    final ProcessBuilder builder = new ProcessBuilder(words);
    builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
    builder.environment().put("BULRUSHWEIR_CONFIG", settings.toString());
    builder.redirectErrorStream(true);
    final File log = folder.resolve(name + ".log").toFile();
    builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log));
    process = builder.start();
    record.add("gateway %s: started, process %d", name, process.pid());
  }

  private String fill(final String template, final boolean first) {
    final Matcher places = PLACE.matcher(template);
    final StringBuilder text = new StringBuilder();
    while (places.find()) {
      final String field = places.group(1);
      final String value =
          field.equals("bootstrap") ? Boolean.toString(first) : fields.getOrDefault(field, "");
      places.appendReplacement(text, Matcher.quoteReplacement(value));
    }
    return places.appendTail(text).toString();
  }

  /** Asks as the platform does. */
  boolean isReady() {
    return readiness() == 200;
  }

  /** Returns the status of the readiness check, 0 without an answer. */
  int readiness() {
    try {
      final HttpURLConnection call =
          (HttpURLConnection)
              URI.create("http://" + host + ":" + statusPort + "/ready").toURL().openConnection();
      call.setConnectTimeout(1_000);
      call.setReadTimeout(1_000);
      return call.getResponseCode();
    } catch (IOException e) {
      return 0;
    }
  }

  /** Sends a signal to the process. */
  void signal(final String signal) throws IOException, InterruptedException {
    record.add("gateway %s: SIG%s", name, signal);
    new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
  }

  /** Waits for the end of the process. */
  boolean awaitEnd(final long ms) throws InterruptedException {
    return process.waitFor(ms, TimeUnit.MILLISECONDS);
  }

  @Override
  public void close() {
    if (process == null || !process.isAlive()) {
      return;
    }
    process.destroyForcibly();
    try {
      process.waitFor(5, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
