package org.bulrushweir.process;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;

/** Runs a fleet of real processes: platform, endpoints with sidecars, routers. */
final class Fleet implements AutoCloseable {

  private static final String HOST = "127.0.0.1";

  private final HttpClient http = HttpClient.newHttpClient();
  private final Map<String, BinaryProcess> processes = new HashMap<>();
  private final Map<String, Integer> httpPorts = new HashMap<>();
  private final Map<String, Integer> peerPorts = new HashMap<>();
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

  private int start(final String name, final String... arguments) throws IOException {
    return launch(name, arguments).awaitPort();
  }

  private BinaryProcess launch(final String name, final String... arguments) throws IOException {
    final BinaryProcess process = BinaryProcess.start(directory.resolve(name + ".log"), arguments);
    processes.put(name, process);
    return process;
  }

  /**
   * Starts an engine with its sidecar.
   *
   * @param name the endpoint's name
   * @param service the service it belongs to
   * @param model the model that it has loaded
   * @throws Exception if it can't be started
   */
  void startEngine(final String name, final String service, final String model) throws Exception {
    final int port = start(name + "-engine", "standin", "engine", "--model", model);
    startSidecar(name, service, port);
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
    httpPorts.put(name, port);
    startSidecar(name, service, port);
  }

  private void startSidecar(final String name, final String service, final int endpointPort)
      throws Exception {
    final Path settings =
        writeSettings(
            name,
            0,
            "service = \"" + service + "\"",
            "[endpoint]\nurl = \"http://" + HOST + ":" + endpointPort + "\"");
    final int peerPort = start(name, "sidecar", "--settings", settings.toString());
    register(name, "ENDPOINT", peerPort, service, "LIVE");
  }

  /**
   * Starts a router.
   *
   * @param name the router's name
   * @throws Exception if it can't be started
   */
  void startRouter(final String name) throws Exception {
    final int httpPort = FreePort.find();
    final Path settings = writeSettings(name, httpPort, "", "");
    final int peerPort = start(name, "router", "--settings", settings.toString());
    httpPorts.put(name, httpPort);
    register(name, "ENTRY", peerPort, "", "LIVE");
  }

  private Path writeSettings(
      final String name, final int httpPort, final String head, final String tail)
      throws IOException {
    final Path file = directory.resolve(name + ".toml");
    Files.writeString(
        file,
        """
        node = "%s"
        zone = "zone-1"
        %s
        [http]
        port = %d
        [platform]
        url = "http://%s:%d"
        vm_poll_ms = 300
        timeout_ms = 500
        %s
        """
            .formatted(name, head, httpPort, HOST, platformPort, tail));
    return file;
  }

  private void register(
      final String name,
      final String role,
      final int peerPort,
      final String service,
      final String state)
      throws Exception {
    peerPorts.put(name, peerPort);
    putControl(
        "/control/vms",
        """
        {"name":"%s","role":"%s","host":"%s","peer_port":%d,"zone":"zone-1","service":"%s",
        "state":"%s"}
        """
            .formatted(name, role, HOST, peerPort, service, state));
  }

  private void putControl(final String path, final String body) throws Exception {
    final HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + HOST + ":" + platformPort + path))
            .PUT(HttpRequest.BodyPublishers.ofString(body))
            .build();
    http.send(request, HttpResponse.BodyHandlers.discarding());
  }

  /**
   * Sets the platform's faults.
   *
   * @param json the faults
   * @throws Exception if the platform does not answer
   */
  void faults(final String json) throws Exception {
    putControl("/control/faults", json);
  }

  /**
   * Submits a text.
   *
   * @param text the text
   * @return the exit code of the command
   * @throws Exception if it can't be run
   */
  int submit(final String text) throws Exception {
    final Path file = Files.createTempFile(directory, "declaration", ".toml");
    Files.writeString(file, text);
    final Process process =
        new ProcessBuilder(
                System.getProperty("bulrushweir.binary"),
                "submit",
                "--platform",
                "http://" + HOST + ":" + platformPort,
                file.toString())
            .redirectErrorStream(true)
            .redirectOutput(directory.resolve("submit.log").toFile())
            .start();
    return process.waitFor();
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

  /**
   * Returns the address of a router's or service's HTTP interface.
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
    return http.send(request.build(), HttpResponse.BodyHandlers.ofString());
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
    http.close();
  }
}
