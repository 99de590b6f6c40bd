package org.bulrushweir.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletionException;
import okhttp3.HttpUrl;
import okhttp3.OkHttpClient;
import org.bulrushweir.store.ChangePage;
import org.bulrushweir.store.SharedTable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Reads a store's answer that arrives in pieces, as a large configuration does on a busy link. */
class SlowStoreAnswerTest {

  private static final long TIMEOUT_MS = 200;
  private static final int PIECES = 10;
  private static final String BODY = "{\"rows\":[],\"ver\":7" + " ".repeat(PIECES * 20) + "}";

  private final OkHttpClient client = new OkHttpClient();
  private ServerSocket server;

  @BeforeEach
  void listen() throws IOException {
    server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
  }

  @AfterEach
  void close() throws IOException {
    server.close();
    client.dispatcher().executorService().shutdown();
  }

  /** Sends the first pieces of an answer, then keeps the connection open. */
  private void answer(final int pieces, final long pauseMs) {
    Thread.ofVirtual()
        .start(
            () -> {
              try (Socket socket = server.accept()) {
                socket.getInputStream().read();
                final OutputStream out = socket.getOutputStream();
                out.write(
                    ("HTTP/1.1 200 OK\r\nStore-Era: 1\r\nContent-Length: "
                            + BODY.length()
                            + "\r\n\r\n")
                        .getBytes(StandardCharsets.US_ASCII));
                final int pieceLength = BODY.length() / PIECES;
                for (int piece = 0; piece < pieces; piece++) {
                  final int end = piece == PIECES - 1 ? BODY.length() : (piece + 1) * pieceLength;
                  out.write(
                      BODY.substring(piece * pieceLength, end).getBytes(StandardCharsets.US_ASCII));
                  Thread.sleep(pauseMs);
                }
                Thread.sleep(20 * TIMEOUT_MS);
              } catch (IOException | InterruptedException e) {
                // The client has closed the connection, or the test is over.
              }
            });
  }

  private ChangePage poll() {
    return new HttpPlatformStore(
            client, HttpUrl.get("http://127.0.0.1:" + server.getLocalPort()), TIMEOUT_MS)
        .changes(SharedTable.CONFIGURATION, 1, 0)
        .join();
  }

  /** Guards against a large configuration that is given up, and read anew, again and again. */
  @Test
  void answerThatMakesProgressIsReadToItsEnd() {
    answer(PIECES, TIMEOUT_MS / 4);
    assertEquals(7, poll().version());
  }

  /** Guards against a poll that hangs because the connection went silent inside the answer. */
  @Test
  void answerThatStopsIsGivenUp() {
    answer(2, TIMEOUT_MS / 4);
    final long startedNs = System.nanoTime();
    assertThrows(CompletionException.class, this::poll);
    final long tookMs = (System.nanoTime() - startedNs) / 1_000_000;
    assertTrue(tookMs < 4 * TIMEOUT_MS, () -> tookMs + " ms");
  }

  /** Guards against an answer that holds up its reader by a few bytes now and then. */
  @Test
  void answerThatTakesTooLongIsGivenUp() {
    answer(PIECES, TIMEOUT_MS * 9 / 10);
    assertThrows(CompletionException.class, this::poll);
  }
}
