package org.bulrushweir.platform;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.Dispatcher;
import okhttp3.HttpUrl;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.Response;
import org.bulrushweir.balancing.PromptSegment;
import org.bulrushweir.catalog.EndpointRecord;
import org.bulrushweir.store.PlatformException;

/** Asks engines which parts of prompts they hold, each time on a new connection. */
public final class EngineCacheClient {

  private static final String PATH = "kv-list";
  private static final String HELD = "held";
  private static final int ID_INDEX = 1;
  private static final int TOKENS_INDEX = 2;
  private static final int HEX_RADIX = 16;

  /** The longest list that is read, in bytes; 2,000 parts take about 100,000. */
  private static final long MAX_LIST_BYTES = 512L << 10;

  /** The number of bytes of a whole answer, its head and the framing of its body included. */
  private static final long MAX_ANSWER_BYTES = 2 * MAX_LIST_BYTES;

  /** The number of calls at a time; each holds up to a whole answer in memory. */
  private static final int MAX_CALLS = 8;

  private final OkHttpClient client;

  /**
   * Creates the client.
   *
   * @param client the HTTP client to share threads with
   * @param timeoutMs how long a call may take, in milliseconds
   */
  public EngineCacheClient(final OkHttpClient client, final long timeoutMs) {
    final Dispatcher dispatcher = new Dispatcher(client.dispatcher().executorService());
    dispatcher.setMaxRequests(MAX_CALLS);
    // The bound of a socket is that of an answer, as no connection is used again.
    this.client =
        SingleUseConnections.of(client)
            .dispatcher(dispatcher)
            .socketFactory(new BoundedSocketFactory(MAX_ANSWER_BYTES))
            .callTimeout(Duration.ofMillis(timeoutMs))
            .build();
  }

  /**
   * Asks an engine.
   *
   * @param engine the engine
   * @return the parts that it holds; fails with a {@link PlatformException} without an answer
   */
  public CompletableFuture<List<PromptSegment>> held(final EndpointRecord engine) {
    final HttpUrl url;
    try {
      url =
          new HttpUrl.Builder()
              .scheme("http")
              .host(engine.host())
              .port(engine.port())
              .addPathSegment(PATH)
              .build();
    } catch (IllegalArgumentException e) {
      return CompletableFuture.failedFuture(
          new PlatformException("the engine's address can't be used", false, e));
    }
    final CompletableFuture<List<PromptSegment>> future = new CompletableFuture<>();
    client.newCall(new Request.Builder().url(url).build()).enqueue(new PartsCallback(future));
    return future;
  }

  /** Completes a future with the parts in an answer. */
  private final class PartsCallback implements Callback {

    private final CompletableFuture<List<PromptSegment>> future;

    private PartsCallback(final CompletableFuture<List<PromptSegment>> future) {
      this.future = future;
    }

    @Override
    public void onFailure(final Call call, final IOException e) {
      future.completeExceptionally(
          new PlatformException("the engine does not answer: " + e.getMessage(), false, e));
    }

    @Override
    public void onResponse(final Call call, final Response response) {
      try (response) {
        if (!response.isSuccessful()) {
          throw new IOException("status " + response.code());
        }
        future.complete(parse(BoundedBody.read(response, MAX_LIST_BYTES)));
      } catch (IOException e) {
        onFailure(call, e);
      }
    }
  }

  /**
   * Reads the parts in an answer; entries that can't be read are left out.
   *
   * @param text the answer
   * @return the parts
   * @throws JsonProcessingException if the answer is not JSON
   */
  List<PromptSegment> parse(final String text) throws JsonProcessingException {
    final List<PromptSegment> parts = new ArrayList<>();
    for (final JsonNode entry : JsonReader.MAPPER.readTree(text).path(HELD)) {
      final JsonNode tokens = entry.path(TOKENS_INDEX);
      if (!tokens.canConvertToInt() || tokens.intValue() < 1) {
        // As an entry without tokens it would never be evicted.
        continue;
      }
      try {
        parts.add(
            new PromptSegment(
                Long.parseUnsignedLong(entry.path(ID_INDEX).asText(), HEX_RADIX),
                tokens.intValue()));
      } catch (NumberFormatException e) {
        // An id of another form names no part that callers' prompts can share.
        continue;
      }
    }
    return parts;
  }
}
