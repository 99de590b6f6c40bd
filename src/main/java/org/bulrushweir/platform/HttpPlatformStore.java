package org.bulrushweir.platform;

import com.google.common.flogger.FluentLogger;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import okhttp3.HttpUrl;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import org.bulrushweir.api.FindingCollector;
import org.bulrushweir.store.ChangeFeed;
import org.bulrushweir.store.ChangePage;
import org.bulrushweir.store.CommitResult;
import org.bulrushweir.store.Condition;
import org.bulrushweir.store.HistoryLostException;
import org.bulrushweir.store.PlatformException;
import org.bulrushweir.store.PlatformStore;
import org.bulrushweir.store.Row;
import org.bulrushweir.store.RowChange;
import org.bulrushweir.store.SharedTable;
import org.bulrushweir.store.Transaction;
import org.bulrushweir.store.Vm;
import org.bulrushweir.store.Write;

/** Reaches the platform's store over HTTP, each call on a connection of its own. */
public final class HttpPlatformStore implements PlatformStore, ChangeFeed {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private static final MediaType JSON = MediaType.get("application/json");
  private static final MediaType TEXT = MediaType.get("text/plain; charset=utf-8");
  private static final String AFTER_ALL_KEYS = "\uffff";

  private final StoreCalls calls;
  private final RowRanges ranges;

  /**
   * Creates the client.
   *
   * @param client the HTTP client to share threads with
   * @param base the platform's base URL
   * @param timeoutMs how long a call may take, in milliseconds, besides what it is asked to wait
   */
  public HttpPlatformStore(final OkHttpClient client, final HttpUrl base, final long timeoutMs) {
    this.calls = new StoreCalls(client, base, timeoutMs);
    this.ranges = new RowRanges(calls);
  }

  @Override
  public CompletableFuture<Row> read(final String key) {
    return ranges
        .first(StorePaths.OWN_TABLE, key, key + '\0')
        .thenApply(
            page ->
                page.rows().stream()
                    .findFirst()
                    .map(row -> toRow(row, page.storeClockMs()))
                    .orElseGet(() -> new Row(key, 0, "", page.storeClockMs())));
  }

  @Override
  public CompletableFuture<List<Row>> scan(final String prefix) {
    return ranges
        .all(StorePaths.OWN_TABLE, prefix, prefix + AFTER_ALL_KEYS)
        .thenApply(
            page -> page.rows().stream().map(row -> toRow(row, page.storeClockMs())).toList());
  }

  @Override
  public CompletableFuture<CommitResult> commit(final Transaction transaction) {
    return transact(StorePaths.OWN_TABLE, transaction.conditions(), transaction.writes())
        .thenApply(reply -> toCommitResult(reply, transaction));
  }

  @Override
  public CompletableFuture<Void> putObject(final String key, final String content) {
    final RequestBody body = RequestBody.create(content, TEXT);
    final HttpUrl url = objectUrl(StorePaths.PUT_OBJECT, key);
    return calls
        .send(new Request.Builder().url(url).put(body).build())
        .thenApply(StoreReply::requireOk)
        .thenApply(reply -> null);
  }

  @Override
  public CompletableFuture<Optional<String>> object(final String key) {
    final HttpUrl url = objectUrl(StorePaths.GET_OBJECT, key);
    return calls
        .send(new Request.Builder().url(url).build())
        .thenApply(
            reply -> {
              if (reply.status() == StoreReply.STATUS_NOT_FOUND) {
                return Optional.empty();
              }
              return Optional.of(reply.requireOk().body());
            });
  }

  @Override
  public CompletableFuture<List<Vm>> vms() {
    return ranges
        .all(StorePaths.VM_TABLE, "", AFTER_ALL_KEYS)
        .thenApply(page -> page.rows().stream().flatMap(row -> vm(row).stream()).toList());
  }

  private static Optional<Vm> vm(final StoreMessages.RowMessage row) {
    if (row.value() == null) {
      logger.atFine().log("VM %s: has no value", row.key());
      return Optional.empty();
    }
    final FindingCollector findings = new FindingCollector();
    final Optional<Vm> vm = VmDecoder.decode(row.key(), decode(row.value()), findings);
    findings.findings().forEach(finding -> logger.atFine().log("%s", finding));
    return vm;
  }

  @Override
  public CompletableFuture<ChangePage> snapshot(final SharedTable table) {
    return ranges
        .all(StorePaths.nameOf(table), "", AFTER_ALL_KEYS)
        .thenApply(HttpPlatformStore::toPage);
  }

  @Override
  public CompletableFuture<ChangePage> changes(
      final SharedTable table, final long after, final long waitMs) {
    final HttpUrl url =
        calls
            .url(StorePaths.FOLLOW)
            .addQueryParameter(StorePaths.TABLE, StorePaths.nameOf(table))
            .addQueryParameter(StorePaths.AFTER, Long.toString(after))
            .addQueryParameter(StorePaths.WAIT, Long.toString(waitMs))
            .build();
    final CompletableFuture<StoreReply> reply =
        calls.sendAndWait(new Request.Builder().url(url).build(), waitMs);
    final CompletableFuture<ChangePage> page = reply.thenApply(HttpPlatformStore::toChanges);
    page.whenComplete(
        (result, failure) -> {
          if (page.isCancelled()) {
            reply.cancel(false);
          }
        });
    return page;
  }

  private static ChangePage toChanges(final StoreReply reply) {
    if (reply.status() == StoreReply.STATUS_GONE) {
      throw new HistoryLostException();
    }
    return toPage(RowsPage.of(reply));
  }

  @Override
  public CompletableFuture<Void> put(
      final SharedTable table, final String key, final String value) {
    return transact(StorePaths.nameOf(table), List.of(), List.of(new Write(key, value)))
        .thenApply(StoreReply::requireOk)
        .thenApply(reply -> null);
  }

  @Override
  public CompletableFuture<Void> remove(final SharedTable table, final String key) {
    return put(table, key, null);
  }

  private CompletableFuture<StoreReply> transact(
      final String table, final List<Condition> conditions, final List<Write> writes) {
    final List<StoreMessages.RowMessage> expected = new ArrayList<>();
    for (final Condition condition : conditions) {
      expected.add(row(table, condition.key(), null, condition.version()));
    }
    final List<StoreMessages.RowMessage> sets = new ArrayList<>();
    final List<StoreMessages.RowMessage> removals = new ArrayList<>();
    for (final Write write : writes) {
      if (write.value() == null) {
        removals.add(row(table, write.key(), null, null));
      } else {
        sets.add(row(table, write.key(), encode(write.value()), null));
      }
    }
    final String json =
        StoreMessages.tree(new StoreMessages.TransactionMessage(expected, sets, removals))
            .toString();
    final HttpUrl url = calls.url(StorePaths.TRANSACT).build();
    return calls.send(new Request.Builder().url(url).post(RequestBody.create(json, JSON)).build());
  }

  private static StoreMessages.RowMessage row(
      final String table, final String key, final String value, final Long version) {
    return new StoreMessages.RowMessage(table, StorePaths.NO_PARTITION, key, value, version, null);
  }

  /** Returns the URL of an object; its name on the platform holds no slash. */
  private HttpUrl objectUrl(final String path, final String key) {
    return calls.url(path + key.replace('/', '.')).build();
  }

  private static CommitResult toCommitResult(
      final StoreReply reply, final Transaction transaction) {
    if (reply.status() == StoreReply.STATUS_OK) {
      return new CommitResult.Committed(reply.rows().version());
    }
    if (reply.status() != StoreReply.STATUS_PRECONDITION_FAILED) {
      throw reply.unexpected();
    }
    return new CommitResult.Conflict(conflict(reply.rows(), transaction));
  }

  /** Finds the first row that differs from its condition; a missing one does not exist. */
  private static Row conflict(
      final StoreMessages.RowsMessage message, final Transaction transaction) {
    for (final Condition condition : transaction.conditions()) {
      final Row current =
          message.rows().stream()
              .filter(row -> row.key().equals(condition.key()))
              .findFirst()
              .map(row -> toRow(row, message.storeClockMs()))
              .orElseGet(() -> Row.absent(condition.key()));
      if (current.version() != condition.version()) {
        return current;
      }
    }
    throw new PlatformException("the platform reports a conflict but names no row", true, null);
  }

  /** Returns a row's value; a row that is there without a value counts as empty, not as removed. */
  private static Optional<String> value(final StoreMessages.RowMessage row) {
    if (Boolean.TRUE.equals(row.removed())) {
      return Optional.empty();
    }
    return Optional.of(row.value() == null ? "" : decode(row.value()));
  }

  private static ChangePage toPage(final RowsPage page) {
    final List<RowChange> rows = new ArrayList<>();
    for (final StoreMessages.RowMessage row : page.rows()) {
      if (row.key() == null) {
        logger.atFine().log("a row of version %s has no key", row.version());
      } else {
        rows.add(new RowChange(row.key(), value(row), row.version() == null ? 0 : row.version()));
      }
    }
    return new ChangePage(rows, page.message().version(), page.era());
  }

  private static Row toRow(final StoreMessages.RowMessage row, final long timeMs) {
    final boolean exists = row.value() != null && row.version() != null;
    return new Row(
        row.key(), exists ? row.version() : 0, exists ? decode(row.value()) : "", timeMs);
  }

  private static String encode(final String text) {
    return Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
  }

  /** Decodes a value; one that is not base64 is left as it is, for its reader to complain about. */
  private static String decode(final String value) {
    try {
      return new String(Base64.getDecoder().decode(value), StandardCharsets.UTF_8);
    } catch (IllegalArgumentException e) {
      return value;
    }
  }
}
