package org.bulrushweir.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import okhttp3.HttpUrl;
import okhttp3.Request;
import org.bulrushweir.store.HistoryLostException;
import org.bulrushweir.store.PlatformException;

/** Reads ranges of the store's rows, which it returns in pages. */
final class RowRanges {

  /** How often a range is begun before it counts as unreadable. */
  static final int MAX_ATTEMPTS = 3;

  private final StoreCalls calls;

  /**
   * Creates a reader.
   *
   * @param calls calls the store
   */
  RowRanges(final StoreCalls calls) {
    this.calls = calls;
  }

  /**
   * Reads all rows of a range, page by page. Begins anew if the store was restored between two
   * pages, a few times at most.
   *
   * @param table the table
   * @param from the first key
   * @param to the key after the last one
   * @return the rows, all of one era
   */
  CompletableFuture<RowsPage> all(final String table, final String from, final String to) {
    return attempt(table, from, to, 1);
  }

  private CompletableFuture<RowsPage> attempt(
      final String table, final String from, final String to, final int number) {
    return pages(table, from, to)
        .exceptionallyCompose(
            failure -> {
              if (!(failure.getCause() instanceof HistoryLostException)) {
                return CompletableFuture.failedFuture(failure);
              }
              if (number >= MAX_ATTEMPTS) {
                return CompletableFuture.failedFuture(
                    new PlatformException(
                        "the platform was restored while table " + table + " was read",
                        false,
                        failure));
              }
              return attempt(table, from, to, number + 1);
            });
  }

  private CompletableFuture<RowsPage> pages(
      final String table, final String from, final String to) {
    return first(table, from, to)
        .thenCompose(
            page -> {
              if (!Boolean.TRUE.equals(page.message().more()) || page.rows().isEmpty()) {
                return CompletableFuture.completedFuture(page);
              }
              return pages(table, page.rows().getLast().key() + '\0', to)
                  .thenApply(rest -> joined(page, rest));
            });
  }

  /** Joins two pages; what has changed since the first one was read is to be followed. */
  private static RowsPage joined(final RowsPage page, final RowsPage rest) {
    if (page.era() != rest.era()) {
      throw new HistoryLostException();
    }
    final List<StoreMessages.RowMessage> rows = new ArrayList<>(page.rows());
    rows.addAll(rest.rows());
    return new RowsPage(
        new StoreMessages.RowsMessage(rows, false, page.message().version(), page.storeClockMs()),
        page.era());
  }

  /**
   * Reads the first page of a range.
   *
   * @param table the table
   * @param from the first key
   * @param to the key after the last one
   * @return the rows
   */
  CompletableFuture<RowsPage> first(final String table, final String from, final String to) {
    final HttpUrl url =
        calls
            .url(StorePaths.READ)
            .addQueryParameter(StorePaths.TABLE, table)
            .addQueryParameter(StorePaths.PARTITION, StorePaths.NO_PARTITION)
            .addQueryParameter(StorePaths.FROM, from)
            .addQueryParameter(StorePaths.TO, to)
            .build();
    return calls.send(new Request.Builder().url(url).build()).thenApply(RowsPage::of);
  }
}
