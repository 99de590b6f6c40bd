package org.bulrushweir.platform;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.net.ConnectException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.HttpUrl;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
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
  private static final String NO_PARTITION = "";
  private static final String AFTER_ALL_KEYS = "\uffff";

  /** The longest reply that is read, in bytes; the largest object has 8 MiB. */
  private static final long MAX_REPLY_BYTES = 12L << 20;

  /** The era of a store that does not state one. */
  private static final long UNSTATED_ERA = 0;

  private static final int STATUS_OK = 200;
  private static final int STATUS_NOT_FOUND = 404;
  private static final int STATUS_GONE = 410;
  private static final int STATUS_PRECONDITION_FAILED = 412;
  private static final int STATUS_TOO_MANY = 429;
  private static final int STATUS_UNAVAILABLE = 503;

  private final OkHttpClient client;
  private final HttpUrl base;
  private final long timeoutMs;

  /**
   * Creates the client.
   *
   * @param client the HTTP client to share threads with
   * @param base the platform's base URL
   * @param timeoutMs how long a call may take, in milliseconds, besides what it is asked to wait
   */
  public HttpPlatformStore(final OkHttpClient client, final HttpUrl base, final long timeoutMs) {
    this.client =
        SingleUseConnections.of(client).connectTimeout(Duration.ofMillis(timeoutMs)).build();
    this.base = base;
    this.timeoutMs = timeoutMs;
  }

  @Override
  public CompletableFuture<Row> read(final String key) {
    return range(StorePaths.OWN_TABLE, key, key + '\0')
        .thenApply(
            page ->
                page.rows().stream()
                    .findFirst()
                    .map(row -> toRow(row, page.storeClockMs()))
                    .orElseGet(() -> new Row(key, 0, "", page.storeClockMs())));
  }

  @Override
  public CompletableFuture<List<Row>> scan(final String prefix) {
    return all(StorePaths.OWN_TABLE, prefix, prefix + AFTER_ALL_KEYS)
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
    return send(new Request.Builder().url(url).put(body).build())
        .thenApply(HttpPlatformStore::requireOk)
        .thenApply(reply -> null);
  }

  @Override
  public CompletableFuture<Optional<String>> object(final String key) {
    final HttpUrl url = objectUrl(StorePaths.GET_OBJECT, key);
    return send(new Request.Builder().url(url).build())
        .thenApply(
            reply -> {
              if (reply.status() == STATUS_NOT_FOUND) {
                return Optional.empty();
              }
              return Optional.of(requireOk(reply).body());
            });
  }

  @Override
  public CompletableFuture<List<Vm>> vms() {
    return all(StorePaths.VM_TABLE, "", AFTER_ALL_KEYS)
        .thenApply(page -> page.rows().stream().flatMap(row -> vm(row).stream()).toList());
  }

  private static Optional<Vm> vm(final StoreMessages.RowMessage row) {
    final FindingCollector findings = new FindingCollector();
    final Optional<Vm> vm = VmDecoder.decode(row.key(), decode(row.value()), findings);
    findings.findings().forEach(finding -> logger.atFine().log("%s", finding));
    return vm;
  }

  @Override
  public CompletableFuture<ChangePage> snapshot(final SharedTable table) {
    return all(StorePaths.nameOf(table), "", AFTER_ALL_KEYS).thenApply(HttpPlatformStore::toPage);
  }

  @Override
  public CompletableFuture<ChangePage> changes(
      final SharedTable table, final long after, final long waitMs) {
    final HttpUrl url =
        url(StorePaths.FOLLOW)
            .addQueryParameter(StorePaths.TABLE, StorePaths.nameOf(table))
            .addQueryParameter(StorePaths.AFTER, Long.toString(after))
            .addQueryParameter(StorePaths.WAIT, Long.toString(waitMs))
            .build();
    return send(new Request.Builder().url(url).build(), timeoutMs + waitMs)
        .thenApply(
            reply -> {
              if (reply.status() == STATUS_GONE) {
                throw new HistoryLostException();
              }
              return toPage(parse(reply));
            });
  }

  @Override
  public CompletableFuture<Void> put(
      final SharedTable table, final String key, final String value) {
    return transact(StorePaths.nameOf(table), List.of(), List.of(new Write(key, value)))
        .thenApply(HttpPlatformStore::requireOk)
        .thenApply(reply -> null);
  }

  @Override
  public CompletableFuture<Void> remove(final SharedTable table, final String key) {
    return put(table, key, null);
  }

  private CompletableFuture<Reply> transact(
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
    final HttpUrl url = url(StorePaths.TRANSACT).build();
    return send(new Request.Builder().url(url).post(RequestBody.create(json, JSON)).build());
  }

  private static StoreMessages.RowMessage row(
      final String table, final String key, final String value, final Long version) {
    return new StoreMessages.RowMessage(table, NO_PARTITION, key, value, version, null);
  }

  /** Reads all rows of a range, page by page. */
  private CompletableFuture<RowsPage> all(final String table, final String from, final String to) {
    return range(table, from, to)
        .thenCompose(
            page -> {
              if (!Boolean.TRUE.equals(page.message().more()) || page.rows().isEmpty()) {
                return CompletableFuture.completedFuture(page);
              }
              return all(table, page.rows().getLast().key() + '\0', to)
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

  private CompletableFuture<RowsPage> range(
      final String table, final String from, final String to) {
    final HttpUrl url =
        url(StorePaths.READ)
            .addQueryParameter(StorePaths.TABLE, table)
            .addQueryParameter(StorePaths.PARTITION, NO_PARTITION)
            .addQueryParameter(StorePaths.FROM, from)
            .addQueryParameter(StorePaths.TO, to)
            .build();
    return send(new Request.Builder().url(url).build()).thenApply(this::parse);
  }

  private HttpUrl.Builder url(final String path) {
    return base.newBuilder().addPathSegments(path.substring(1));
  }

  /** Returns the URL of an object; its name on the platform holds no slash. */
  private HttpUrl objectUrl(final String path, final String key) {
    return url(path + key.replace('/', '.')).build();
  }

  private CommitResult toCommitResult(final Reply reply, final Transaction transaction) {
    if (reply.status() == STATUS_OK) {
      return new CommitResult.Committed(readRows(reply).version());
    }
    if (reply.status() != STATUS_PRECONDITION_FAILED) {
      throw unexpected(reply);
    }
    return new CommitResult.Conflict(conflict(readRows(reply), transaction));
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

  private static ChangePage toPage(final RowsPage page) {
    final List<RowChange> rows = new ArrayList<>();
    for (final StoreMessages.RowMessage row : page.rows()) {
      final boolean removed = Boolean.TRUE.equals(row.removed()) || row.value() == null;
      rows.add(
          new RowChange(
              row.key(),
              removed ? Optional.empty() : Optional.of(decode(row.value())),
              row.version() == null ? 0 : row.version()));
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

  private RowsPage parse(final Reply reply) {
    return new RowsPage(readRows(requireOk(reply)), reply.era());
  }

  private StoreMessages.RowsMessage readRows(final Reply reply) {
    try {
      return StoreMessages.rows(JsonReader.MAPPER.readTree(reply.body()));
    } catch (JsonProcessingException e) {
      throw new PlatformException("the platform's answer is malformed", true, e);
    }
  }

  private static Reply requireOk(final Reply reply) {
    if (reply.status() != STATUS_OK) {
      throw unexpected(reply);
    }
    return reply;
  }

  private static PlatformException unexpected(final Reply reply) {
    final boolean refused =
        reply.status() == STATUS_UNAVAILABLE || reply.status() == STATUS_TOO_MANY;
    return new PlatformException(
        "the platform answered with status " + reply.status() + ": " + reply.body(),
        !refused,
        null);
  }

  private CompletableFuture<Reply> send(final Request request) {
    return send(request, timeoutMs);
  }

  private CompletableFuture<Reply> send(final Request request, final long limitMs) {
    final CompletableFuture<Reply> future = new CompletableFuture<>();
    final Call call = client.newCall(request);
    call.timeout().timeout(limitMs, TimeUnit.MILLISECONDS);
    call.enqueue(new ReplyCallback(future));
    return future;
  }

  /**
   * Holds an HTTP answer.
   *
   * @param status the HTTP status
   * @param body the body
   * @param era the store's era
   */
  private record Reply(int status, String body, long era) {}

  /**
   * Rows of the store with the era in which they were read.
   *
   * @param message the rows
   * @param era the store's era
   */
  private record RowsPage(StoreMessages.RowsMessage message, long era) {

    List<StoreMessages.RowMessage> rows() {
      return message.rows();
    }

    long storeClockMs() {
      return message.storeClockMs();
    }
  }

  /**
   * Completes a future from the HTTP client's callback.
   *
   * @param future the future to complete
   */
  private record ReplyCallback(CompletableFuture<Reply> future) implements Callback {

    @Override
    public void onFailure(final Call call, final IOException e) {
      final boolean neverSent = e instanceof ConnectException;
      future.completeExceptionally(
          new PlatformException("the platform does not answer: " + e.getMessage(), !neverSent, e));
    }

    private static long era(final Response response) {
      final String text = response.header(StorePaths.ERA);
      if (text == null) {
        return UNSTATED_ERA;
      }
      try {
        return Long.parseLong(text.strip());
      } catch (NumberFormatException e) {
        throw new PlatformException("the platform's era is not a number: " + text, true, e);
      }
    }

    @Override
    public void onResponse(final Call call, final Response response) {
      try (response) {
        future.complete(
            new Reply(response.code(), BoundedBody.read(response, MAX_REPLY_BYTES), era(response)));
      } catch (IOException e) {
        future.completeExceptionally(
            new PlatformException("the platform's answer broke off", true, e));
      } catch (PlatformException e) {
        future.completeExceptionally(e);
      }
    }
  }
}
