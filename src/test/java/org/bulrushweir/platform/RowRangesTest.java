package org.bulrushweir.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.CompletionException;
import java.util.concurrent.atomic.AtomicInteger;
import okhttp3.HttpUrl;
import okhttp3.OkHttpClient;
import org.bulrushweir.store.PlatformException;
import org.bulrushweir.testing.RawAnswer;
import org.bulrushweir.testing.Repetition;
import org.bulrushweir.testing.StutteringServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests the reading of ranges that the store returns in pages. */
class RowRangesTest {

  private static final long TIMEOUT_MS = 10_000;
  private static final String TABLE = "t";
  private static final String FROM = "a";
  private static final String TO = "z";

  private final OkHttpClient client = new OkHttpClient();

  @AfterEach
  void close() {
    client.dispatcher().executorService().shutdown();
    client.connectionPool().evictAll();
  }

  private RowRanges ranges(final StutteringServer server) {
    return new RowRanges(new StoreCalls(client, HttpUrl.get(server.url()), TIMEOUT_MS));
  }

  /** Makes a page of one row; its key is the first one asked for. */
  private static RawAnswer page(final String path, final int era, final boolean more) {
    final String key = path.contains("from=a%00") ? "b" : "a";
    return new RawAnswer(
        200,
        "Store-Era: " + era + "\r\n",
        "{\"rows\":[{\"key\":\""
            + key
            + "\",\"value\":\"\",\"ver\":1}],\"has_more\":"
            + more
            + ",\"ver\":9,\"now_ms\":1}");
  }

  private static List<String> keys(final RowsPage page) {
    return page.rows().stream().map(StoreMessages.RowMessage::key).toList();
  }

  @Test
  void pagesAreJoined() throws IOException {
    try (StutteringServer server =
        new StutteringServer(Repetition.NONE, (path, number) -> page(path, 1, number == 0))) {
      final RowsPage rows = ranges(server).all(TABLE, FROM, TO).join();
      assertEquals(List.of("a", "b"), keys(rows));
      assertEquals(1, rows.era());
      assertEquals(9, rows.message().version());
    }
  }

  /** Guards against a restoration between two pages that ends the reading of a range. */
  @Test
  void rangeIsReadAnewAfterRestorationBetweenTwoPages() throws IOException {
    try (StutteringServer server =
        new StutteringServer(
            Repetition.NONE, (path, number) -> page(path, number == 0 ? 1 : 2, number % 2 == 0))) {
      final RowsPage rows = ranges(server).all(TABLE, FROM, TO).join();
      assertEquals(List.of("a", "b"), keys(rows));
      assertEquals(2, rows.era());
    }
  }

  @Test
  void rangeOfStoreThatIsRestoredAgainAndAgainCanNotBeRead() throws IOException {
    final AtomicInteger requests = new AtomicInteger();
    try (StutteringServer server =
        new StutteringServer(
            Repetition.NONE,
            (path, number) -> {
              requests.incrementAndGet();
              return page(path, number, number % 2 == 0);
            })) {
      final CompletionException failure =
          assertThrows(CompletionException.class, () -> ranges(server).all(TABLE, FROM, TO).join());
      assertFalse(assertInstanceOf(PlatformException.class, failure.getCause()).effectPossible());
    }
    assertEquals(2 * RowRanges.MAX_ATTEMPTS, requests.get());
  }

  /** Guards against a page without a stated era that passes for a restoration. */
  @Test
  void pageThatStatesNoEraBelongsToTheOneStatedBefore() throws IOException {
    try (StutteringServer server =
        new StutteringServer(
            Repetition.NONE,
            (path, number) -> {
              final RawAnswer page = page(path, 1, number == 0);
              return number == 0 ? page : new RawAnswer(200, page.body());
            })) {
      assertEquals(1, ranges(server).all(TABLE, FROM, TO).join().era());
    }
  }
}
