package org.bulrushweir.demo;

import java.io.IOException;
import java.util.concurrent.TimeUnit;
import okhttp3.ConnectionPool;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.bulrushweir.platform.EndpointSide;

/** Sends requests to gateways as a caller does. */
public final class DemoCaller implements AutoCloseable {

  private static final long TIMEOUT_MS = 20_000;
  private static final int IDLE_CONNECTIONS = 50;
  private static final long REQUEST_PATIENCE_MS = 5_000;

  private final OkHttpClient client =
      new OkHttpClient.Builder()
          .retryOnConnectionFailure(false)
          .callTimeout(TIMEOUT_MS, TimeUnit.MILLISECONDS)
          .connectionPool(new ConnectionPool(IDLE_CONNECTIONS, 5, TimeUnit.SECONDS))
          .build();

  /**
   * Sends a request and reads its answer.
   *
   * @param port the gateway's port
   * @param call the request
   * @return the answer
   */
  public DemoAnswer send(final int port, final DemoCall call) {
    final Request.Builder request =
        new Request.Builder()
            .url("http://127.0.0.1:" + port + call.path())
            .header("Host", call.host())
            .header("Authorization", "Bearer " + call.key());
    EndpointSide.callerHeaders(
        request::header, call.requestId(), REQUEST_PATIENCE_MS, call.promptParts());
    if (!call.body().isEmpty()) {
      request.post(RequestBody.create(call.body().getBytes()));
    }
    final long startNanos = System.nanoTime();
    try (Response response = client.newCall(request.build()).execute()) {
      final String body = response.body().string();
      if (!EndpointSide.mayAnswer(response::headers, call.requestId())) {
        throw new IOException("the answer names another request");
      }
      return new DemoAnswer(
          response.code(),
          body,
          response.header("Retry-After", ""),
          TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos));
    } catch (IOException e) {
      return new DemoAnswer(
          0, e.toString(), "", TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos));
    }
  }

  @Override
  public void close() {
    client.dispatcher().executorService().shutdown();
    client.connectionPool().evictAll();
  }
}
