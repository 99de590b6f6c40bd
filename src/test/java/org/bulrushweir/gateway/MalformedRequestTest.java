package org.bulrushweir.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.SocketException;
import org.bulrushweir.demo.DemoCall;
import org.bulrushweir.demo.DemoCaller;
import org.bulrushweir.demo.DemoFleet;
import org.bulrushweir.standin.DirectEndpointStandIn;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests the reading of requests: malformed, oversized and slow ones are refused and reach no
 * endpoint.
 */
class MalformedRequestTest {

  private static final String HEAD =
      "Host: orders.example\r\nX-Request-Id: %s\r\nAuthorization: Bearer key-of-dispatch\r\n";

  private static DemoFleet fleet;
  private static DirectEndpointStandIn orders;
  private static int port;

  @BeforeAll
  static void start() throws InterruptedException {
    fleet = new DemoFleet(new PrintStream(OutputStream.nullOutputStream()), 0);
    orders = fleet.startEndpoint("orders-1", DemoFleet.ORDERS, null);
    port = fleet.startGateway("gateway-1").callersPort();
    try (DemoCaller caller = new DemoCaller()) {
      for (int number = 0; number < 200; number++) {
        if (caller.send(port, DemoCall.lookup("ready" + number)).served()) {
          return;
        }
        Thread.sleep(20);
      }
    }
  }

  @AfterAll
  static void close() {
    fleet.close();
  }

  private static String exchange(final String request) throws IOException {
    try (RawSocketClient client = new RawSocketClient(port)) {
      client.send(request);
      return client.read(400);
    }
  }

  /**
   * Length and transfer encoding together, differing lengths, unusual spellings of both, and
   * invalid header characters. A second request follows on the connection: it must not be served,
   * since it could be part of the body of the first (request smuggling).
   */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
        "Content-Length: 4\r\nContent-Length: 5\r\n",
        "Content-Length: +4\r\n",
        "Content-Length: 4, 4\r\n",
        "Content-Length: -1\r\n",
        "Content-Length : 4\r\n",
        "Transfer-Encoding: xchunked\r\n",
        "Transfer-Encoding: chunked, chunked\r\n",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n",
        "Transfer-Encoding: gzip, chunked\r\n",
        "X-Odd\u0000: 1\r\n",
        "X-Odd: a\rb\r\n",
      })
  void malformedRequestIsRefusedAndTheConnectionCloses(final String headers) throws IOException {
    final String id = "bad" + Math.abs(headers.hashCode());
    final String smuggled = "POST /book/2 HTTP/1.1\r\n" + HEAD.formatted(id + "-inner") + "\r\n";
    try (RawSocketClient client = new RawSocketClient(port)) {
      client.send("POST /book/1 HTTP/1.1\r\n" + HEAD.formatted(id) + headers + "\r\n0\r\n\r\n");
      client.send(smuggled);
      final String answer = client.read(500);
      assertTrue(answer.startsWith("HTTP/1.1 400 "), headers + " -> " + answer);
      assertEquals(answer.indexOf("HTTP/1.1 "), answer.lastIndexOf("HTTP/1.1 "), answer);
      assertTrue(client.isClosedByPeer());
    } catch (SocketException e) {
      // The gateway closed the connection before it had read all bytes; the runs are checked below.
    }
    assertFalse(orders.runs().containsKey(id));
    assertFalse(orders.runs().containsKey(id + "-inner"));
  }

  @Test
  void bodyBeyondTheLimitIsRefused() throws IOException {
    final String answer =
        exchange(
            "POST /book/1 HTTP/1.1\r\n"
                + HEAD.formatted("large")
                + "Content-Length: 5000000\r\n\r\n");
    assertTrue(answer.startsWith("HTTP/1.1 413 "), answer);
  }

  @Test
  void headBeyondTheLimitIsRefused() throws IOException {
    final String answer =
        exchange(
            "GET /look/1 HTTP/1.1\r\n"
                + HEAD.formatted("large-head")
                + "X-Padding: "
                + "a".repeat(20_000)
                + "\r\n\r\n");
    assertTrue(answer.startsWith("HTTP/1.1 431 "), answer);
  }

  @Test
  void incompleteHeadTimesOut() throws IOException {
    try (RawSocketClient client = new RawSocketClient(port)) {
      client.send("GET /look/1 HTTP/1.1\r\nHost: orders");
      final String answer = client.read(7_000);
      assertTrue(answer.startsWith("HTTP/1.1 408 "), answer);
    }
  }

  @Test
  void pipelinedRequestsAreAnsweredInOrder() throws IOException {
    final String answers =
        exchange(
            "GET /look/1 HTTP/1.1\r\n"
                + HEAD.formatted("p1")
                + "\r\nGET /look/1 HTTP/1.1\r\n"
                + HEAD.formatted("p2")
                + "Connection: close\r\n\r\n");
    assertTrue(answers.indexOf("answer to p1") >= 0, answers);
    assertTrue(answers.indexOf("answer to p2") > answers.indexOf("answer to p1"), answers);
  }

  @Test
  void chunkedBodyIsReadCompletely() throws IOException {
    final String answer =
        exchange(
            "POST /book/1 HTTP/1.1\r\n"
                + HEAD.formatted("chunks")
                + "Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n"
                + "4\r\nabcd\r\n2\r\nef\r\n0\r\n\r\n");
    assertTrue(answer.contains("answer to chunks"), answer);
  }

  @Test
  void missingHostOrIdIsRefused() throws IOException {
    assertTrue(
        exchange("GET /look/1 HTTP/1.1\r\nX-Request-Id: a\r\n\r\n").startsWith("HTTP/1.1 400 "));
    assertTrue(
        exchange("GET /look/1 HTTP/1.1\r\nHost: orders.example\r\n\r\n")
            .startsWith("HTTP/1.1 400 "));
  }
}
