package org.bulrushweir.platform;

import java.io.IOException;
import java.net.ConnectException;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.HttpUrl;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.Response;
import org.bulrushweir.store.PlatformException;

/** Sends calls to the store, each on a connection of its own. */
final class StoreCalls {

  /** The longest reply that is read, in bytes; the largest object has 8 MiB. */
  private static final long MAX_REPLY_BYTES = 12L << 20;

  /**
   * The longest time of a call besides what it is asked to wait, in multiples of the time for its
   * answer to start: a large configuration takes several of these on a busy link of a small VM.
   */
  private static final long CALL_MULTIPLE = 8;

  private final OkHttpClient client;
  private final HttpUrl base;
  private final long timeoutMs;

  /** The era that the last answer with one stated; zero before. */
  private volatile long statedEra;

  /**
   * Creates the client.
   *
   * @param client the HTTP client to share threads with
   * @param base the platform's base URL
   * @param timeoutMs how long a call may take until its answer starts, besides what it is asked to
   *     wait, and how long the answer may pause, in milliseconds
   */
  StoreCalls(final OkHttpClient client, final HttpUrl base, final long timeoutMs) {
    this.client =
        SingleUseConnections.of(client).connectTimeout(Duration.ofMillis(timeoutMs)).build();
    this.base = base;
    this.timeoutMs = timeoutMs;
  }

  /**
   * Starts the URL of a call.
   *
   * @param path the call's path
   * @return the builder of the URL
   */
  HttpUrl.Builder url(final String path) {
    return base.newBuilder().addPathSegments(path.substring(1));
  }

  /**
   * Sends a call.
   *
   * @param request the request
   * @return the answer; fails with a {@link PlatformException} if there is none in time
   */
  CompletableFuture<StoreReply> send(final Request request) {
    return sendAndWait(request, 0);
  }

  /**
   * Sends a call that asks the store to wait.
   *
   * @param request the request
   * @param waitMs how long it asks the store to wait, in milliseconds
   * @return the answer; cancelling it closes the call's connection; fails with a {@link
   *     PlatformException} if there is none in time
   */
  CompletableFuture<StoreReply> sendAndWait(final Request request, final long waitMs) {
    final CompletableFuture<StoreReply> future = new CompletableFuture<>();
    final Call call =
        client
            .newBuilder()
            .readTimeout(Duration.ofMillis(waitMs + timeoutMs))
            .callTimeout(Duration.ofMillis(waitMs + CALL_MULTIPLE * timeoutMs))
            .build()
            .newCall(request);
    future.whenComplete(
        (reply, failure) -> {
          if (future.isCancelled()) {
            call.cancel();
          }
        });
    call.enqueue(new ReplyCallback(future));
    return future;
  }

  /**
   * Returns the era of an answer. One that states none, as an intermediary's, tells nothing about a
   * restoration.
   */
  private long era(final Response response) {
    final String text = response.header(StorePaths.ERA);
    if (text == null) {
      return statedEra;
    }
    try {
      final long era = Long.parseLong(text.strip());
      statedEra = era;
      return era;
    } catch (NumberFormatException e) {
      throw new PlatformException("the platform's era is not a number: " + text, true, e);
    }
  }

  /** Completes a future from the HTTP client's callback. */
  private final class ReplyCallback implements Callback {

    private final CompletableFuture<StoreReply> future;

    private ReplyCallback(final CompletableFuture<StoreReply> future) {
      this.future = future;
    }

    @Override
    public void onFailure(final Call call, final IOException e) {
      final boolean neverSent = e instanceof ConnectException;
      future.completeExceptionally(
          new PlatformException("the platform does not answer: " + e.getMessage(), !neverSent, e));
    }

    @Override
    public void onResponse(final Call call, final Response response) {
      try (response) {
        response.body().source().timeout().timeout(timeoutMs, TimeUnit.MILLISECONDS);
        future.complete(
            new StoreReply(
                response.code(), BoundedBody.read(response, MAX_REPLY_BYTES), era(response)));
      } catch (IOException e) {
        future.completeExceptionally(
            new PlatformException("the platform's answer broke off", true, e));
      } catch (PlatformException e) {
        future.completeExceptionally(e);
      } catch (RuntimeException | OutOfMemoryError e) {
        // The HTTP client reports no failure after this call: the future would never complete.
        future.completeExceptionally(
            new PlatformException("the platform's answer can't be read: " + e, true, e));
      }
    }
  }
}
