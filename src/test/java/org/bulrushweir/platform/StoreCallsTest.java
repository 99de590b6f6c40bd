package org.bulrushweir.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.CompletionException;
import okhttp3.HttpUrl;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import org.bulrushweir.store.PlatformException;
import org.bulrushweir.testing.RawAnswer;
import org.bulrushweir.testing.Repetition;
import org.bulrushweir.testing.StutteringServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests the sending of calls to the store. */
class StoreCallsTest {

  private static final long TIMEOUT_MS = 10_000;

  private final OkHttpClient client = new OkHttpClient();

  @AfterEach
  void close() {
    client.dispatcher().executorService().shutdown();
    client.connectionPool().evictAll();
  }

  private StoreReply call(final String url) {
    final StoreCalls calls = new StoreCalls(client, HttpUrl.get(url), TIMEOUT_MS);
    return calls.send(new Request.Builder().url(calls.url("/rows-get").build()).build()).join();
  }

  private PlatformException failure(final String url) {
    return assertInstanceOf(
        PlatformException.class,
        assertThrows(CompletionException.class, () -> call(url)).getCause());
  }

  @Test
  void eraIsReadFromTheAnswer() throws IOException {
    try (StutteringServer server =
        new StutteringServer(
            Repetition.NONE, (path, number) -> new RawAnswer(200, "Store-Era: 7\r\n", path))) {
      assertEquals(new StoreReply(200, "/rows-get", 7), call(server.url()));
    }
  }

  @Test
  void eraThatIsNoNumberFails() throws IOException {
    try (StutteringServer server =
        new StutteringServer(
            Repetition.NONE, (path, number) -> new RawAnswer(200, "Store-Era: x\r\n", path))) {
      assertTrue(failure(server.url()).effectPossible());
    }
  }

  @Test
  void callThatFindsNoStoreHasNoEffect() throws IOException {
    final int port;
    try (ServerSocket ended = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      port = ended.getLocalPort();
    }
    assertFalse(failure("http://127.0.0.1:" + port).effectPossible());
  }
}
