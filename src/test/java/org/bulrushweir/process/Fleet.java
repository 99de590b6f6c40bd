package org.bulrushweir.process;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Runs a fleet of real processes: platform, endpoints with sidecars, routers. */
final class Fleet implements AutoCloseable {

  private static final String HOST = "127.0.0.1";
  private static final Pattern CONFIG_NUMBER =
      Pattern.compile("(?m)^bulrushweir_config_number (\\S+)$");
  private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(60);
  private static final Executor THREAD_EACH = task -> Thread.ofVirtual().start(task);

  private final HttpClient http = HttpClient.newHttpClient();
  private final Map<String, BinaryProcess> processes = new ConcurrentHashMap<>();
  private final Map<String, Integer> httpPorts = new ConcurrentHashMap<>();
  private final Map<String, Integer> peerPorts = new ConcurrentHashMap<>();
  private final Path directory;
  private final int platformPort;

  /**
   * Starts a fleet that consists of the platform only.
   *
   * @param directory for settings and logs
   * @throws IOException if it can't be started
   */
  Fleet(final Path directory) throws IOException {
    this.directory = directory;
    this.platformPort = start("platform", "standin", "platform", "--list-lag-ms", "200");
  }

  /** Starts one process, or one endpoint with its sidecar. */
  interface Start {

    /**
     * Starts it and waits until it is ready.
     *
     * @throws Exception if it can't be started
     */
    void run() throws Exception;
  }

  /**
   * Starts several processes at the same time and waits until all are ready.
   *
   * @param starts what to start
   */
  static void startTogether(final Start... starts) {
    CompletableFuture.allOf(
            Arrays.stream(starts)
                .map(start -> CompletableFuture.runAsync(() -> runUnchecked(start), THREAD_EACH))
                .toArray(CompletableFuture[]::new))
        .join();
  }

  private static void runUnchecked(final Start start) {
    try {
      start.run();
    } catch (Exception e) {
      throw new CompletionException(e);
    }
  }

  private int start(final String name, final String... arguments) throws IOException {
    return launch(name, arguments).awaitPort();
  }

  private BinaryProcess launch(final String name, final String... arguments) throws IOException {
    final BinaryProcess process =
        BinaryProcess.start(directory.resolve(name + "-" + System.nanoTime() + ".log"), arguments);
    processes.put(name, process);
    return process;
  }

  /**
   * Starts an engine with its sidecar.
   *
   * @param name the endpoint's name
   * @param options further options of the engine
   * @throws Exception if it can't be started
   */
  void startEngine(final String name, final String... options) throws Exception {
    final List<String> arguments =
        new ArrayList<>(List.of("standin", "engine", "--model", "spec-7b"));
    arguments.addAll(Arrays.asList(options));
    final int port = start(name + "-engine", arguments.toArray(String[]::new));
    httpPorts.put(name + "-engine", port);
    startSidecar(name, "assistant", port, "");
  }

  /**
   * Starts a plain service with its sidecar.
   *
   * @param name the endpoint's name
   * @param service the service it belongs to
   * @throws Exception if it can't be started
   */
  void startService(final String name, final String service) throws Exception {
    final int port = start(name + "-service", "standin", "service");
    httpPorts.put(name + "-service", port);
    startSidecar(name, service, port, "");
  }

  /**
   * Starts a sidecar before an endpoint that runs already.
   *
   * @param name the endpoint's name
   * @param service the service it belongs to
   * @param endpointPort the endpoint's port
   * @param head further settings
   * @throws Exception if it can't be started
   */
  void startSidecar(
      final String name, final String service, final int endpointPort, final String head)
      throws Exception {
    final int httpPort = FreePort.find();
    final Path settings =
        writeSettings(
            name,
            httpPort,
            head + "\nservice = \"" + service + "\"",
            "[endpoint]\nurl = \"http://" + HOST + ":" + endpointPort + "\"");
    final int peerPort = start(name, "sidecar", "--settings", settings.toString());
    httpPorts.put(name, httpPort);
    register(name, "ENDPOINT", peerPort, service, "LIVE");
  }

  /**
   * Starts a router.
   *
   * @param name the router's name
   * @throws Exception if it can't be started
   */
  void startRouter(final String name) throws Exception {
    startRouter(name, "");
  }

  /**
   * Starts a router.
   *
   * @param name the router's name
   * @param head further settings
   * @throws Exception if it can't be started
   */
  void startRouter(final String name, final String head) throws Exception {
    final int httpPort = FreePort.find();
    final Path settings = writeSettings(name, httpPort, head, "");
    final int peerPort = start(name, "router", "--settings", settings.toString());
    httpPorts.put(name, httpPort);
    register(name, "ENTRY", peerPort, "", "LIVE");
  }

  private Path writeSettings(
      final String name, final int httpPort, final String head, final String tail)
      throws IOException {
    final Path file = directory.resolve(name + ".toml");
    final String template =
        """
        node = "%s"
        zone = "zone-1"
        %s
        [http]
        port = %d
        [platform]
        url = "http://%s:%d"
        vm_poll_ms = 300
        config_poll_ms = 1000
        timeout_ms = 500
        %s
        """;
    Files.writeString(file, template.formatted(name, head, httpPort, HOST, platformPort, tail));
    return file;
  }

  /**
   * Lists a VM at the platform.
   *
   * @param name its name
   * @param role its role
   * @param peerPort the port of the process on it
   * @param service the service of its endpoint, empty for a router
   * @param state its state
   * @throws Exception if the platform does not answer
   */
  void register(
      final String name,
      final String role,
      final int peerPort,
      final String service,
      final String state)
      throws Exception {
    peerPorts.put(name, peerPort);
    final String template =
        """
        {"name":"%s","role":"%s","host":"%s","peer_port":%d,"zone":"zone-1","service":"%s",
        "state":"%s"}
        """;
    putControl("/control/vms", template.formatted(name, role, HOST, peerPort, service, state));
  }

  private void putControl(final String path, final String body) throws Exception {
    final HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + HOST + ":" + platformPort + path))
            .PUT(HttpRequest.BodyPublishers.ofString(body))
            .build();
    final HttpResponse<String> response = http.send(request, HttpResponse.BodyHandlers.ofString());
    if (response.statusCode() / 100 != 2) {
      throw new IOException(path + ": " + response.statusCode() + " " + response.body());
    }
  }

  /**
   * Sets the platform's faults.
   *
   * @param outage whether it refuses all calls
   * @param hang whether it accepts calls but never answers
   * @param loseAnswers how many of the next writes lose their answers
   * @throws Exception if the platform does not answer
   */
  void faults(final boolean outage, final boolean hang, final int loseAnswers) throws Exception {
    final String template = "{\"outage\":%s,\"hang\":%s,\"delay_ms\":0,\"lose_answers\":%d}";
    putControl("/control/faults", template.formatted(outage, hang, loseAnswers));
  }

  /**
   * Submits a text.
   *
   * @param text the text
   * @return the running command
   * @throws Exception if it can't be run
   */
  Process startSubmit(final String text) throws Exception {
    final Path file = Files.createTempFile(directory, "declaration", ".toml");
    Files.writeString(file, text);
    final ProcessBuilder builder =
        new ProcessBuilder(
            System.getProperty("bulrushweir.binary"),
            "submit",
            "--no-wait",
            "--platform",
            "http://" + HOST + ":" + platformPort,
            file.toString());
    builder.environment().put("JAVA_HOME", System.getProperty("java.home"));
    return builder
        .redirectErrorStream(true)
        .redirectOutput(Files.createTempFile(directory, "submit", ".log").toFile())
        .start();
  }

  /**
   * Submits a text and waits.
   *
   * @param text the text
   * @return the exit code of the command
   * @throws Exception if it can't be run
   */
  int submit(final String text) throws Exception {
    return startSubmit(text).waitFor();
  }

  /**
   * Reads the time line of all processes.
   *
   * @return the text
   * @throws Exception if it can't be read
   */
  String timeline() throws Exception {
    final ProcessBuilder builder =
        new ProcessBuilder(
            System.getProperty("bulrushweir.binary"),
            "timeline",
            "--platform",
            "http://" + HOST + ":" + platformPort);
    builder.environment().put("JAVA_HOME", System.getProperty("java.home"));
    final Process process = builder.redirectErrorStream(true).start();
    return new String(process.getInputStream().readAllBytes());
  }

  /**
   * Returns a process.
   *
   * @param name its name
   * @return the process
   */
  BinaryProcess process(final String name) {
    return processes.get(name);
  }

  int peerPort(final String name) {
    return peerPorts.get(name);
  }

  int httpPort(final String name) {
    return httpPorts.get(name);
  }

  /**
   * Returns the address of a process's HTTP interface.
   *
   * @param name its name
   * @param path the path
   * @return the address
   */
  URI uri(final String name, final String path) {
    return URI.create("http://" + HOST + ":" + httpPorts.get(name) + path);
  }

  /**
   * Sends a request.
   *
   * @param request the request
   * @return the response
   * @throws Exception if there is none
   */
  HttpResponse<String> send(final HttpRequest.Builder request) throws Exception {
    return http.send(
        request.timeout(REQUEST_TIMEOUT).build(), HttpResponse.BodyHandlers.ofString());
  }

  /**
   * Fetches a text.
   *
   * @param name the process
   * @param path the path
   * @return the body
   * @throws Exception if there is none
   */
  String get(final String name, final String path) throws Exception {
    return send(HttpRequest.newBuilder(uri(name, path))).body();
  }

  /**
   * Reads which configuration is in force.
   *
   * @param name the process
   * @return the number
   * @throws Exception if the process does not answer
   */
  long configNumber(final String name) throws Exception {
    final Matcher matcher = CONFIG_NUMBER.matcher(get(name, "/metrics"));
    return matcher.find() ? (long) Double.parseDouble(matcher.group(1)) : 0;
  }

  /**
   * Builds a chat request.
   *
   * @param router the router to ask
   * @param body the JSON body
   * @return the request
   */
  HttpRequest.Builder chat(final String router, final String body) {
    return HttpRequest.newBuilder(uri(router, "/v1/chat/completions"))
        .header("Bulrushweir-Organisation", "org-a")
        .POST(HttpRequest.BodyPublishers.ofString(body));
  }

  /**
   * Opens a stream.
   *
   * @param request the request
   * @return the stream
   */
  AnswerStream stream(final HttpRequest.Builder request) {
    return new AnswerStream(http, request.build());
  }

  /**
   * Builds a booking.
   *
   * @param router the router to ask
   * @param key the Idempotency-Key
   * @param reference the caller's own reference
   * @return the request
   */
  HttpRequest.Builder booking(final String router, final String key, final String reference) {
    return HttpRequest.newBuilder(uri(router, "/services/orders/bookings"))
        .header("Bulrushweir-Organisation", "org-a")
        .header("Idempotency-Key", key)
        .header("Content-Type", "application/json")
        .POST(HttpRequest.BodyPublishers.ofString("{\"reference\":\"" + reference + "\"}"));
  }

  /**
   * Waits until a router is ready to serve.
   *
   * @param router its name
   * @throws Exception if that takes too long
   */
  void awaitReady(final String router) throws Exception {
    Waiting.until(() -> send(HttpRequest.newBuilder(uri(router, "/ready"))).statusCode() == 200);
  }

  @Override
  public void close() {
    processes.values().forEach(BinaryProcess::close);
    http.shutdownNow();
  }
}
