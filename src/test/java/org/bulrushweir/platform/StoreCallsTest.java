package org.bulrushweir.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.locks.LockSupport;
import okhttp3.HttpUrl;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import org.bulrushweir.store.ChangePage;
import org.bulrushweir.store.PlatformException;
import org.bulrushweir.store.SharedTable;
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

  /** Guards against a long poll that fails after the HTTP client's own read timeout. */
  @Test
  void callThatWaitsOutlastsTheReadTimeoutOfTheClient() throws IOException {
    final OkHttpClient impatient = client.newBuilder().readTimeout(Duration.ofMillis(100)).build();
    try (StutteringServer server =
        new StutteringServer(
            Repetition.NONE,
            (path, number) -> {
              LockSupport.parkNanos(Duration.ofMillis(600).toNanos());
              return new RawAnswer(200, "Store-Era: 7\r\n", path);
            })) {
      final StoreCalls calls = new StoreCalls(impatient, HttpUrl.get(server.url()), TIMEOUT_MS);
      final Request request = new Request.Builder().url(calls.url("/rows-feed").build()).build();
      assertEquals(200, calls.sendAndWait(request, 600).join().status());
    }
  }

  /** Guards against connections that stay open when a poll is abandoned. */
  @Test
  void cancelledPollClosesItsConnection() throws Exception {
    try (ServerSocket silent = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      final HttpPlatformStore store =
          new HttpPlatformStore(
              client, HttpUrl.get("http://127.0.0.1:" + silent.getLocalPort()), TIMEOUT_MS);
      final CompletableFuture<ChangePage> poll = store.changes(SharedTable.ENDPOINTS, 1, 15_000);
      try (Socket connection = silent.accept()) {
        connection.setSoTimeout(5_000);
        assertTrue(connection.getInputStream().read() > 0);
        poll.cancel(false);
        final byte[] rest = connection.getInputStream().readAllBytes();
        assertTrue(rest.length > 0, "the end of the request, then the end of the connection");
      }
      for (int step = 0; step < 100 && client.dispatcher().runningCallsCount() > 0; step++) {
        LockSupport.parkNanos(Duration.ofMillis(20).toNanos());
      }
      assertEquals(0, client.dispatcher().runningCallsCount());
    }
  }
}
