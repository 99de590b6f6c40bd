package org.bulrushweir.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import okhttp3.HttpUrl;
import org.junit.jupiter.api.Test;

/** Tests the client before an endpoint that writes an earlier response once more. */
class EngineClientTest {

  private static final int REQUESTS = 3;
  private static final int BACKLOG = 16;
  private static final String HEAD_END = "\r\n\r\n";

  /** Writes the first response of each connection again before each later one. */
  private static void serve(final Socket socket) {
    try (socket) {
      final InputStream input = socket.getInputStream();
      final OutputStream output = socket.getOutputStream();
      byte[] first = {};
      while (!socket.isClosed()) {
        final StringBuilder head = new StringBuilder();
        while (!head.toString().endsWith(HEAD_END)) {
          final int value = input.read();
          if (value < 0) {
            return;
          }
          head.append((char) value);
        }
        final String path = head.substring(head.indexOf("/"), head.indexOf(" HTTP"));
        final byte[] answer =
            ("HTTP/1.1 200 OK\r\nContent-Length: " + path.length() + HEAD_END + path)
                .getBytes(StandardCharsets.US_ASCII);
        output.write(first);
        output.write(answer);
        output.flush();
        first = answer;
      }
    } catch (IOException e) {
      // The client has closed the connection.
    }
  }

  private static void acceptConnections(final ServerSocket server) {
    while (!server.isClosed()) {
      try {
        final Socket socket = server.accept();
        Thread.ofVirtual().start(() -> serve(socket));
      } catch (IOException e) {
        return;
      }
    }
  }

  /** Guards against the response to an earlier request, which nothing in it tells apart. */
  @Test
  void responseToAnEarlierRequestIsNotTakenForTheNextOne() throws IOException {
    try (ServerSocket server = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
        EngineClient client =
            new EngineClient(HttpUrl.get("http://127.0.0.1:" + server.getLocalPort()))) {
      Thread.ofVirtual().start(() -> acceptConnections(server));
      for (int number = 0; number < REQUESTS; number++) {
        final String path = "/request-" + number;
        final EngineResult result =
            client.executeServiceCall(client.newServiceCall("GET", path, "", new byte[0]));
        final EngineResult.Answered answered =
            assertInstanceOf(EngineResult.Answered.class, result);
        assertEquals(path, new String(answered.body(), StandardCharsets.US_ASCII));
      }
    }
  }
}
