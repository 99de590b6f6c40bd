package org.bulrushweir.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.util.Optional;
import java.util.concurrent.CompletionException;
import okhttp3.HttpUrl;
import okhttp3.OkHttpClient;
import org.bulrushweir.store.ChangePage;
import org.bulrushweir.store.CommitResult;
import org.bulrushweir.store.PlatformException;
import org.bulrushweir.store.SharedTable;
import org.bulrushweir.store.Transaction;
import org.bulrushweir.testing.RawAnswer;
import org.bulrushweir.testing.Repetition;
import org.bulrushweir.testing.StutteringServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Tests the client of the store before one that writes answers a second time. */
class RepeatedStoreAnswerTest {

  private static final String REPETITIONS = "org.bulrushweir.testing.Repetition#all";
  private static final long TIMEOUT_MS = 10_000;
  private static final RawAnswer COMMITTED = RawAnswer.ok("{\"rows\":[],\"ver\":7,\"now_ms\":1}");
  private static final RawAnswer REFUSED = new RawAnswer(503, "{\"error\":\"unavailable\"}");

  private final OkHttpClient client = new OkHttpClient();

  @AfterEach
  void close() {
    client.dispatcher().executorService().shutdown();
    client.connectionPool().evictAll();
  }

  private HttpPlatformStore store(final StutteringServer server) {
    return new HttpPlatformStore(client, HttpUrl.get(server.url()), TIMEOUT_MS);
  }

  private static RawAnswer page(final String key, final String value, final int version) {
    return RawAnswer.ok(
        "{\"rows\":[{\"table\":\"t\",\"part\":\"\",\"key\":\""
            + key
            + "\",\"value\":\""
            + value
            + "\",\"ver\":"
            + version
            + "}],\"has_more\":false,\"ver\":"
            + version
            + ",\"now_ms\":1}");
  }

  /** Guards against a transaction that counts as committed since the one before it was. */
  @ParameterizedTest
  @MethodSource(REPETITIONS)
  void refusedTransactionIsNotTakenForCommitted(final Repetition repetition) throws Exception {
    try (StutteringServer server =
        new StutteringServer(repetition, (path, number) -> number == 0 ? COMMITTED : REFUSED)) {
      final HttpPlatformStore store = store(server);
      store.commit(Transaction.insert("a", "1")).join();
      StutteringServer.awaitIdleRepetitions();
      final CompletionException failure =
          assertThrows(
              CompletionException.class, () -> store.commit(Transaction.insert("b", "1")).join());
      assertFalse(assertInstanceOf(PlatformException.class, failure.getCause()).effectPossible());
    }
  }

  /** Guards against a transaction that counts as certainly not done although it was. */
  @ParameterizedTest
  @MethodSource(REPETITIONS)
  void committedTransactionIsNotTakenForRefused(final Repetition repetition) throws Exception {
    try (StutteringServer server =
        new StutteringServer(repetition, (path, number) -> number == 0 ? REFUSED : COMMITTED)) {
      final HttpPlatformStore store = store(server);
      assertThrows(
          CompletionException.class, () -> store.commit(Transaction.insert("a", "1")).join());
      StutteringServer.awaitIdleRepetitions();
      assertInstanceOf(
          CommitResult.Committed.class, store.commit(Transaction.insert("b", "1")).join());
    }
  }

  /** Guards against changes of one table that are applied to another and skip the other's own. */
  @ParameterizedTest
  @MethodSource(REPETITIONS)
  void changesOfOneTableAreNotTakenForAnothers(final Repetition repetition) throws Exception {
    try (StutteringServer server =
        new StutteringServer(
            repetition,
            (path, number) ->
                path.contains("table=op") ? page("config", "YQ==", 5) : page("e1", "Yg==", 9))) {
      final HttpPlatformStore store = store(server);
      assertEquals(9, store.changes(SharedTable.ENDPOINTS, 1, 0).join().version());
      StutteringServer.awaitIdleRepetitions();
      final ChangePage changes = store.changes(SharedTable.CONFIGURATION, 1, 0).join();
      assertEquals("config", changes.rows().getFirst().key());
      assertEquals(5, changes.version());
    }
  }

  /** Guards against a row that goes back to what it was at the read before. */
  @ParameterizedTest
  @MethodSource(REPETITIONS)
  void rowDoesNotGoBack(final Repetition repetition) throws Exception {
    try (StutteringServer server =
        new StutteringServer(repetition, (path, number) -> page("a", "YQ==", number + 1))) {
      final HttpPlatformStore store = store(server);
      for (int version = 1; version <= 3; version++) {
        assertEquals(version, store.read("a").join().version());
        StutteringServer.awaitIdleRepetitions();
      }
    }
  }

  /** Guards against the content of an object under another one's name. */
  @ParameterizedTest
  @MethodSource(REPETITIONS)
  void objectIsNotTakenForAnother(final Repetition repetition)
      throws IOException, InterruptedException {
    try (StutteringServer server =
        new StutteringServer(repetition, (path, number) -> RawAnswer.ok(path))) {
      final HttpPlatformStore store = store(server);
      for (final String key : new String[] {"a", "b"}) {
        assertEquals(Optional.of("/blob-get/" + key), store.object(key).join());
        StutteringServer.awaitIdleRepetitions();
      }
    }
  }
}
