package org.bulrushweir.engine;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.ProtocolException;
import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import okhttp3.Call;
import okhttp3.ConnectionPool;
import okhttp3.HttpUrl;
import okhttp3.Interceptor;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import okio.BufferedSource;

/**
 * HTTP client of the endpoint that a sidecar fronts, a model engine or a plain service. All calls
 * block, so callers use virtual threads. Each call is sent once, to this endpoint. Connecting fails
 * after 1 s, and a call fails if the endpoint sends nothing for 10 s.
 */
public final class EngineClient implements AutoCloseable {

  private static final MediaType JSON = MediaType.get("application/json");
  private static final long STALL_TIMEOUT_MS = 10_000;
  private static final long CONNECT_TIMEOUT_MS = 1_000;

  /**
   * No connection is used twice: a response that the endpoint writes once more would be taken for
   * the one to the next request, as responses name no request here.
   */
  private static final int IDLE_CONNECTIONS = 0;

  private static final String DATA_PREFIX = "data: ";
  private static final String DONE = "[DONE]";
  private static final int STATUS_NO_CONTENT = 204;
  private static final int STATUS_NOT_FOUND = 404;
  private static final int STATUS_CONFLICT = 409;
  private static final int STATUS_TOO_MANY_REQUESTS = 429;
  private static final int STATUS_UNAVAILABLE = 503;

  private final ObjectMapper mapper = new ObjectMapper();
  private final HttpUrl base;
  private final OkHttpClient client;

  /**
   * Creates the client.
   *
   * @param base the endpoint's base URL
   */
  public EngineClient(final HttpUrl base) {
    this.base = base;
    this.client =
        new OkHttpClient.Builder()
            .retryOnConnectionFailure(false)
            .followRedirects(false)
            .followSslRedirects(false)
            .addNetworkInterceptor(EngineClient::withoutRetryAdvice)
            .connectTimeout(Duration.ofMillis(CONNECT_TIMEOUT_MS))
            .readTimeout(Duration.ofMillis(STALL_TIMEOUT_MS))
            .eventListener(new RequestProgress.Listener())
            .connectionPool(new ConnectionPool(IDLE_CONNECTIONS, 1, TimeUnit.SECONDS))
            .build();
  }

  /** Removes the header at which the HTTP client repeats a request by itself. */
  private static Response withoutRetryAdvice(final Interceptor.Chain chain) throws IOException {
    return chain.proceed(chain.request()).newBuilder().removeHeader("Retry-After").build();
  }

  /**
   * Prepares a streaming chat request.
   *
   * @param request the request
   * @return the call, which other threads can cancel
   */
  public Call newChatCall(final EngineProtocol.ChatRequest request) {
    return newCall(
        new Request.Builder()
            .url(url("/v1/chat/completions"))
            .post(RequestBody.create(write(request), JSON)));
  }

  /**
   * Executes a chat request and passes on its tokens as they arrive.
   *
   * @param call the prepared call
   * @param listener is notified of each token
   * @return {@code Generated} with the token counts; {@code Refused} if no byte was sent or the
   *     engine answered with status 404, 429 or 503; {@code Broken} after any other failure
   */
  public EngineResult executeChat(final Call call, final EngineListener listener) {
    try (Response response = execute(call)) {
      if (!response.isSuccessful()) {
        return errorResult(response);
      }
      return readAnswer(response.body().source(), listener);
    } catch (IOException e) {
      return failureResult(call, "the engine", e);
    }
  }

  /**
   * Executes a call.
   *
   * @param call the prepared call
   * @return the response, which is sound as far as its head tells
   * @throws IOException if there is no such response
   */
  private static Response execute(final Call call) throws IOException {
    final Response response = call.execute();
    final Optional<String> fault =
        ResponseCheck.findFault(response.code(), statesItsEnd(response), progress(call).isCutOff());
    if (fault.isPresent()) {
      response.close();
      throw new ProtocolException(fault.get());
    }
    return response;
  }

  private static boolean statesItsEnd(final Response response) {
    return response.header("Content-Length") != null
        || "chunked".equalsIgnoreCase(response.header("Transfer-Encoding"))
        || response.code() == STATUS_NO_CONTENT;
  }

  private static RequestProgress progress(final Call call) {
    return Objects.requireNonNull(call.request().tag(RequestProgress.class));
  }

  private Call newCall(final Request.Builder request) {
    return client.newCall(request.tag(RequestProgress.class, new RequestProgress()).build());
  }

  /**
   * Classifies a failed call: {@code Refused} if no byte was sent, so that the request has
   * certainly not run; {@code Broken} otherwise.
   */
  private static EngineResult failureResult(
      final Call call, final String endpoint, final IOException failure) {
    if (!progress(call).isStarted()) {
      return new EngineResult.Refused(
          false, endpoint + " can't be reached: " + failure.getMessage());
    }
    return new EngineResult.Broken(endpoint + "'s answer broke off: " + failure.getMessage());
  }

  private static EngineResult errorResult(final Response response) throws IOException {
    final String detail =
        "the engine answered with status " + response.code() + ": " + response.body().string();
    return switch (response.code()) {
      case STATUS_NOT_FOUND -> new EngineResult.Refused(true, detail);
      case STATUS_TOO_MANY_REQUESTS, STATUS_UNAVAILABLE -> new EngineResult.Refused(false, detail);
      default -> new EngineResult.Broken(detail);
    };
  }

  private EngineResult readAnswer(final BufferedSource source, final EngineListener listener)
      throws IOException {
    EngineResult.Generated generated = null;
    for (String line = source.readUtf8Line(); line != null; line = source.readUtf8Line()) {
      if (!line.startsWith(DATA_PREFIX)) {
        continue;
      }
      final String data = line.substring(DATA_PREFIX.length());
      if (DONE.equals(data)) {
        break;
      }
      final EngineProtocol.ChatChunk chunk = mapper.readValue(data, EngineProtocol.ChatChunk.class);
      final EngineProtocol.ChunkChoice choice = chunk.choices().getFirst();
      if (choice.delta() != null && choice.delta().content() != null) {
        listener.onToken(choice.delta().content());
      }
      if (choice.finishReason() != null) {
        generated = new EngineResult.Generated(chunk.usage(), choice.finishReason());
      }
    }
    if (generated == null) {
      return new EngineResult.Broken("the engine's answer ended early");
    }
    return generated;
  }

  /**
   * Prepares a call to a plain service.
   *
   * @param method the HTTP method
   * @param path the path and query of the request
   * @param contentType the content type of the body, empty if there is no body
   * @param body the request body, ignored for GET and HEAD
   * @return the call, which other threads can cancel
   */
  public Call newServiceCall(
      final String method, final String path, final String contentType, final byte[] body) {
    final boolean bodyAllowed = !"GET".equals(method) && !"HEAD".equals(method);
    final MediaType type = contentType.isEmpty() ? null : MediaType.parse(contentType);
    final RequestBody requestBody = bodyAllowed ? RequestBody.create(body, type) : null;
    return newCall(new Request.Builder().url(url(path)).method(method, requestBody));
  }

  /**
   * Executes a call to a plain service.
   *
   * @param call the prepared call
   * @return {@code Answered} with any status; {@code Refused} if no byte was sent; {@code Broken}
   *     after any other failure
   */
  public EngineResult executeServiceCall(final Call call) {
    try (Response response = execute(call)) {
      final MediaType type = response.body().contentType();
      return new EngineResult.Answered(
          response.code(), type == null ? "" : type.toString(), response.body().bytes());
    } catch (IOException e) {
      return failureResult(call, "the service", e);
    }
  }

  /**
   * Fetches the state of the engine.
   *
   * @return the state, empty if the engine does not answer with a success
   */
  public Optional<EngineProtocol.EngineState> fetchState() {
    try (Response response = execute(newCall(new Request.Builder().url(url("/v1/state"))))) {
      if (!response.isSuccessful()) {
        return Optional.empty();
      }
      return Optional.of(
          mapper.readValue(response.body().bytes(), EngineProtocol.EngineState.class));
    } catch (IOException e) {
      return Optional.empty();
    }
  }

  /**
   * Sends an order to load or unload a model to the engine.
   *
   * @param order the order
   * @return {@code DONE} if the engine has carried it out, {@code FENCED} if it has refused the
   *     fencing token, {@code FAILED} otherwise, in which case it may have been carried out
   */
  public OrderResult sendOrder(final EngineProtocol.Order order) {
    final Request.Builder request =
        new Request.Builder().url(url("/v1/orders")).post(RequestBody.create(write(order), JSON));
    try (Response response = execute(newCall(request))) {
      if (response.code() == STATUS_CONFLICT) {
        return OrderResult.FENCED;
      }
      return response.isSuccessful() ? OrderResult.DONE : OrderResult.FAILED;
    } catch (IOException e) {
      return OrderResult.FAILED;
    }
  }

  /**
   * Exports the KV cache of a chat from the engine.
   *
   * @param key the cache key of the chat
   * @return the cache in the engine's own format, empty if the engine does not have it or the call
   *     fails
   */
  public Optional<byte[]> exportCache(final String key) {
    final Request.Builder request = new Request.Builder().url(url("/v1/cache/" + key));
    try (Response response = execute(newCall(request))) {
      return response.isSuccessful() ? Optional.of(response.body().bytes()) : Optional.empty();
    } catch (IOException e) {
      return Optional.empty();
    }
  }

  /**
   * Imports the KV cache of a chat into the engine.
   *
   * @param key the cache key of the chat
   * @param content the cache in the engine's own format
   * @return true if the engine has imported it
   */
  public boolean importCache(final String key, final byte[] content) {
    final Call call =
        newCall(
            new Request.Builder()
                .url(url("/v1/cache/" + key))
                .put(RequestBody.create(content, JSON)));
    try (Response response = execute(call)) {
      return response.isSuccessful() && !progress(call).isCutOff();
    } catch (IOException e) {
      return false;
    }
  }

  private HttpUrl url(final String path) {
    final HttpUrl resolved = base.resolve(path);
    if (resolved == null) {
      throw new IllegalArgumentException("not a path: " + path);
    }
    return resolved;
  }

  private byte[] write(final Object message) {
    try {
      return mapper.writeValueAsBytes(message);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("a message of our own can't be written", e);
    }
  }

  @Override
  public void close() {
    client.dispatcher().executorService().shutdown();
    client.connectionPool().evictAll();
  }
}
