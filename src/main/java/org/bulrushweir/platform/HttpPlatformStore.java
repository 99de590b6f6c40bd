package org.bulrushweir.platform;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.ConnectException;
import java.time.Duration;
import java.util.Date;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.HttpUrl;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;

/** Reaches the platform over its HTTP interface. */
public final class HttpPlatformStore implements PlatformStore {

  private static final MediaType JSON = MediaType.get("application/json");
  private static final MediaType TEXT = MediaType.get("text/plain; charset=utf-8");
  private static final int STATUS_OK = 200;
  private static final int STATUS_NOT_FOUND = 404;
  private static final int STATUS_CONFLICT = 409;
  private static final int STATUS_UNAVAILABLE = 503;

  private final ObjectMapper mapper = new ObjectMapper();
  private final OkHttpClient client;
  private final HttpUrl base;

  /**
   * Creates the client.
   *
   * @param client the HTTP client to share connections with
   * @param base the platform's base URL
   * @param timeoutMs how long a call may take, in milliseconds
   */
  public HttpPlatformStore(final OkHttpClient client, final HttpUrl base, final long timeoutMs) {
    this.client =
        client
            .newBuilder()
            .retryOnConnectionFailure(false)
            .callTimeout(Duration.ofMillis(timeoutMs))
            .build();
    this.base = base;
  }

  @Override
  public CompletableFuture<Row> read(final String key) {
    final Request request = new Request.Builder().url(url("v1/table/" + key)).build();
    return send(request)
        .thenApply(
            reply -> {
              if (reply.status() == STATUS_NOT_FOUND) {
                return new Row(key, 0, "", reply.timeMs());
              }
              return toRow(parse(reply, PlatformProtocol.RowMessage.class), reply.timeMs());
            });
  }

  @Override
  public CompletableFuture<List<Row>> scan(final String prefix) {
    final HttpUrl url = url("v1/table").newBuilder().addQueryParameter("prefix", prefix).build();
    return send(new Request.Builder().url(url).build())
        .thenApply(
            reply ->
                parse(reply, PlatformProtocol.RowsMessage.class).rows().stream()
                    .map(row -> toRow(row, reply.timeMs()))
                    .toList());
  }

  @Override
  public CompletableFuture<CommitResult> commit(final Transaction transaction) {
    final RequestBody body = RequestBody.create(writeJson(toMessage(transaction)), JSON);
    final Request request = new Request.Builder().url(url("v1/table/transact")).post(body).build();
    return send(request).thenApply(this::toCommitResult);
  }

  @Override
  public CompletableFuture<Void> putObject(final String key, final String content) {
    final RequestBody body = RequestBody.create(content, TEXT);
    final Request request = new Request.Builder().url(url("v1/objects/" + key)).put(body).build();
    return send(request).thenApply(HttpPlatformStore::requireOk).thenApply(reply -> null);
  }

  @Override
  public CompletableFuture<Optional<String>> object(final String key) {
    final Request request = new Request.Builder().url(url("v1/objects/" + key)).build();
    return send(request)
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
    final Request request = new Request.Builder().url(url("v1/vms")).build();
    return send(request).thenApply(reply -> parse(reply, PlatformProtocol.VmsMessage.class).vms());
  }

  private HttpUrl url(final String path) {
    return base.newBuilder().addPathSegments(path).build();
  }

  private CommitResult toCommitResult(final Reply reply) {
    if (reply.status() != STATUS_OK && reply.status() != STATUS_CONFLICT) {
      throw unexpected(reply);
    }
    final PlatformProtocol.CommitMessage message =
        readJson(reply.body(), PlatformProtocol.CommitMessage.class);
    if (message.committed()) {
      return new CommitResult.Committed(message.version());
    }
    return new CommitResult.Conflict(toRow(message.conflict(), reply.timeMs()));
  }

  private static Row toRow(final PlatformProtocol.RowMessage message, final long timeMs) {
    return new Row(message.key(), message.version(), message.value(), timeMs);
  }

  private static PlatformProtocol.TransactionMessage toMessage(final Transaction transaction) {
    return new PlatformProtocol.TransactionMessage(
        transaction.conditions().stream()
            .map(it -> new PlatformProtocol.ConditionMessage(it.key(), it.version()))
            .toList(),
        transaction.writes().stream()
            .map(it -> new PlatformProtocol.WriteMessage(it.key(), it.value()))
            .toList());
  }

  private <T> T parse(final Reply reply, final Class<T> type) {
    return readJson(requireOk(reply).body(), type);
  }

  private static Reply requireOk(final Reply reply) {
    if (reply.status() != STATUS_OK) {
      throw unexpected(reply);
    }
    return reply;
  }

  private static PlatformException unexpected(final Reply reply) {
    final boolean refused = reply.status() == STATUS_UNAVAILABLE;
    return new PlatformException(
        "the platform answered with status " + reply.status() + ": " + reply.body(),
        !refused,
        null);
  }

  private <T> T readJson(final String json, final Class<T> type) {
    try {
      return mapper.readValue(json, type);
    } catch (JsonProcessingException e) {
      throw new PlatformException("the platform's answer is malformed", true, e);
    }
  }

  private String writeJson(final Object message) {
    try {
      return mapper.writeValueAsString(message);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("a message of our own can't be written", e);
    }
  }

  private CompletableFuture<Reply> send(final Request request) {
    final CompletableFuture<Reply> future = new CompletableFuture<>();
    client.newCall(request).enqueue(new ReplyCallback(future));
    return future;
  }

  /**
   * Holds an HTTP answer.
   *
   * @param status the HTTP status
   * @param body the body
   * @param timeMs the platform's time, in milliseconds, zero if it was not told
   */
  private record Reply(int status, String body, long timeMs) {}

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

    @Override
    public void onResponse(final Call call, final Response response) {
      try (response) {
        final Date date = response.headers().getDate("Date");
        future.complete(
            new Reply(
                response.code(), response.body().string(), date == null ? 0 : date.getTime()));
      } catch (IOException e) {
        future.completeExceptionally(
            new PlatformException("the platform's answer broke off", true, e));
      }
    }
  }
}
