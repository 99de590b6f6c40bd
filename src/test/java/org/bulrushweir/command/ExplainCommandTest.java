package org.bulrushweir.command;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.bulrushweir.api.EndpointId;
import org.bulrushweir.api.ZoneName;
import org.bulrushweir.demo.DemoCall;
import org.bulrushweir.demo.DemoCaller;
import org.bulrushweir.demo.DemoFleet;
import org.bulrushweir.gateway.GatewayService;
import org.bulrushweir.platform.EvacuationDecoder;
import org.bulrushweir.standin.PlatformFaults;
import org.bulrushweir.standin.StandInStream;
import org.bulrushweir.store.SharedTable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Asks running gateways of the stand-in fleet. */
class ExplainCommandTest {

  private static final long READY_MS = 4_000;

  /** The time within which a row of the store is in force, in milliseconds. */
  private static final long IN_FORCE_MS = 1_000;

  private static final PlatformFaults OUTAGE = new PlatformFaults(true, false, 0, 0, 0, false);

  private final DemoFleet fleet =
      new DemoFleet(new PrintStream(OutputStream.nullOutputStream()), 0);
  private final DemoCaller caller = new DemoCaller();
  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final ByteArrayOutputStream err = new ByteArrayOutputStream();

  @AfterEach
  void close() {
    caller.close();
    fleet.close();
  }

  private ExitCode run(final String... arguments) {
    out.reset();
    err.reset();
    final Console console =
        new Console(
            new PrintStream(out, true, StandardCharsets.UTF_8),
            new PrintStream(err, true, StandardCharsets.UTF_8));
    return new CommandLine(List.of(new ExplainCommand()), console).run(List.of(arguments));
  }

  private ExitCode explain(final int port, final String host, final String... more) {
    final List<String> arguments =
        new ArrayList<>(List.of("explain", "--gateway", "127.0.0.1:" + port, "--host", host));
    arguments.addAll(List.of(more));
    return run(arguments.toArray(String[]::new));
  }

  private GatewayService startGateway(final String settings) throws InterruptedException {
    fleet.startEndpoint("orders-1", DemoFleet.ORDERS, null);
    fleet.startEndpoint("orders-2", DemoFleet.ORDERS, null).moveTo(new ZoneName("zone-2"));
    for (int number = 1; number <= 7; number++) {
      fleet.startEndpoint("engine-" + number, DemoFleet.ASSISTANT, new StandInStream(3, 5, 5));
    }
    final GatewayService gateway = fleet.startGateway("gateway-1", settings);
    final long untilMs = System.currentTimeMillis() + READY_MS;
    while (!caller.send(gateway.callersPort(), DemoCall.lookup("ready")).served()
        && System.currentTimeMillis() < untilMs) {
      Thread.sleep(20);
    }
    return gateway;
  }

  private static String metrics(final int port) throws IOException {
    try (InputStream stream =
        URI.create("http://127.0.0.1:" + port + "/metrics").toURL().openStream()) {
      return new String(stream.readAllBytes(), StandardCharsets.UTF_8)
          .lines()
          .filter(line -> line.matches("bulrushweir_gateway_(requests|failed|queue|kept|conn).*"))
          .sorted()
          .reduce("", (all, line) -> all + line + "\n");
    }
  }

  /**
   * Guards against an explanation that sends a request, changes a counter, prints a key, or names
   * another engine than the one that then gets the request.
   */
  @Test
  void namesTheEngineThatGetsTheRequestAndChangesNothing()
      throws IOException, InterruptedException {
    final GatewayService gateway = startGateway("[dispatch]\nqueue = true\n");
    caller.send(gateway.callersPort(), DemoCall.draft("before", 3));
    final DemoCall call = DemoCall.draft("request-7", 3);
    final String before = metrics(gateway.metricsPort());
    final String[] request = {
      "--path",
      call.path(),
      "--organisation",
      "dispatch",
      "--prompt",
      call.promptParts(),
      "--request-id",
      call.requestId(),
      "--output-tokens",
      "200",
      "--json"
    };
    assertEquals(ExitCode.OK, explain(gateway.metricsPort(), call.host(), request), err::toString);
    final JsonNode first = new ObjectMapper().readTree(out.toString(StandardCharsets.UTF_8));
    assertEquals(ExitCode.OK, explain(gateway.metricsPort(), call.host(), request));
    final JsonNode second = new ObjectMapper().readTree(out.toString(StandardCharsets.UTF_8));
    assertEquals(
        first.at("/selection/candidates/0/terms"), second.at("/selection/candidates/0/terms"));
    assertEquals(5, first.at("/selection/candidates").size());
    assertEquals("send", first.at("/dispatch/decision").asText());
    assertEquals(2_040, first.at("/selection/candidates/0/cached_tokens").asInt());
    assertFalse(first.toString().contains(DemoCall.KEY));
    assertEquals(before, metrics(gateway.metricsPort()));
    final String engine = first.at("/selection/endpoint").asText();
    caller.send(gateway.callersPort(), call);
    explain(gateway.metricsPort(), call.host(), request);
    final JsonNode after = new ObjectMapper().readTree(out.toString(StandardCharsets.UTF_8));
    assertEquals(engine, after.at("/selection/candidates/0/endpoint").asText());
    assertEquals(2_400, after.at("/selection/candidates/0/cached_tokens").asInt());
    explain(
        gateway.metricsPort(),
        call.host(),
        "--path",
        call.path(),
        "--organisation",
        "dispatch",
        "--prompt",
        call.promptParts(),
        "--request-id",
        "request-8");
    assertTrue(out.toString(StandardCharsets.UTF_8).contains("endpoint   " + engine));
  }

  /** Guards against an explanation that does not say why endpoints get nothing. */
  @Test
  void endpointsThatGetNothingAreCountedByReason() throws IOException, InterruptedException {
    final GatewayService gateway = startGateway("[zones]\nevacuation_ms = 5000\n");
    fleet.endpoints().get(new EndpointId("engine-2")).moveTo(new ZoneName("zone-2"));
    fleet.endpoints().get(new EndpointId("engine-4")).moveTo(new ZoneName("zone-3"));
    fleet.endpoints().get(new EndpointId("engine-5")).register(true);
    fleet
        .platform()
        .put(SharedTable.CONFIGURATION, EvacuationDecoder.key(new ZoneName("zone-2")), "");
    Thread.sleep(IN_FORCE_MS);
    caller.send(gateway.callersPort(), DemoCall.draft("before", 3));
    final DemoCall call = DemoCall.draft("request-7", 3);
    assertEquals(
        ExitCode.OK,
        explain(
            gateway.metricsPort(),
            call.host(),
            "--path",
            call.path(),
            "--organisation",
            "dispatch",
            "--prompt",
            call.promptParts()));
    final String text = out.toString(StandardCharsets.UTF_8);
    assertTrue(text.contains("unusable   1 draining, 1 evacuated\n"), text);
    assertTrue(text.contains("queueing is off"), text);
    assertFalse(text.contains("engine-2 "), text);
    assertFalse(text.contains("engine-5 "), text);
  }

  @Test
  void requestsThatCannotBeExplainedGetMessagesAndExitCodes() throws InterruptedException {
    final GatewayService gateway = startGateway("");
    final int port = gateway.metricsPort();
    assertEquals(ExitCode.FINDINGS, explain(port, DemoCall.ORDER_HOST, "--path", "/none"));
    assertEquals("no_route: no route matches host and path\n", err.toString());
    assertEquals(
        ExitCode.FINDINGS,
        explain(port, DemoCall.ORDER_HOST, "--path", "/look/1", "--organisation", DemoCall.KEY));
    assertEquals(
        "unknown_organisation: the configuration has no key of an organisation with this name\n",
        err.toString());
    assertEquals(
        ExitCode.USAGE,
        explain(port, DemoCall.CHAT_HOST, "--path", "/draft/1", "--prompt", "1:20,tail"));
    assertTrue(err.toString().contains("segment 2 of the prompt"), err::toString);
    assertEquals(ExitCode.USAGE, explain(port, DemoCall.CHAT_HOST));
    assertEquals(ExitCode.OK, explain(port, DemoCall.ORDER_HOST, "--path", "/look/1"));
    assertTrue(out.toString().contains("rejected with 401: no valid key"), out::toString);
    assertEquals(
        ExitCode.FAILED,
        explain(gateway.statusPort(), DemoCall.ORDER_HOST, "--path", "/look/1"),
        "the readiness port explains nothing");
    assertTrue(err.toString().contains("serves no explanations"), err::toString);
  }

  @Test
  void gatewayWithoutConfigurationSaysSo() {
    fleet.platform().misbehaveAs(OUTAGE);
    final GatewayService gateway = fleet.startGateway("gateway-1");
    assertEquals(
        ExitCode.UNAVAILABLE,
        explain(gateway.metricsPort(), DemoCall.ORDER_HOST, "--path", "/look/1"));
    assertEquals(
        "no_configuration: the gateway has not read the configuration and the endpoints yet\n",
        err.toString());
  }

  @Test
  void gatewayThatDoesNotAnswerIsReported(@TempDir final Path folder) throws IOException {
    final int port;
    try (ServerSocket unused = new ServerSocket(0)) {
      port = unused.getLocalPort();
    }
    assertEquals(ExitCode.UNAVAILABLE, explain(port, DemoCall.ORDER_HOST, "--path", "/look/1"));
    final Path settings = folder.resolve("gateway.toml");
    Files.writeString(
        settings,
        """
        node = "gateway-1"
        availability_zone = "zone-1"
        [listen]
        callers = "127.0.0.1:1"
        readiness = "127.0.0.1:2"
        metrics = "0.0.0.0:%d"
        peers = "127.0.0.1:3"
        [platform]
        url = "http://127.0.0.1:4"
        """
            .formatted(port));
    assertEquals(
        ExitCode.UNAVAILABLE,
        run(
            "explain",
            "--settings",
            settings.toString(),
            "--host",
            DemoCall.ORDER_HOST,
            "--path",
            "/look/1"));
    assertTrue(err.toString().contains("127.0.0.1:" + port + " does not answer"), err::toString);
  }
}
