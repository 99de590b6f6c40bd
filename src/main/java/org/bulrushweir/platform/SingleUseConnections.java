package org.bulrushweir.platform;

import java.util.concurrent.TimeUnit;
import okhttp3.ConnectionPool;
import okhttp3.OkHttpClient;

/**
 * Configures HTTP clients whose answers name no call. On a connection that is used twice, an answer
 * that the peer writes once more, or a part of one, would be read as the answer to the next call,
 * so each call opens a connection and closes it.
 */
final class SingleUseConnections {

  private static final int IDLE_CONNECTIONS = 0;

  private SingleUseConnections() {}

  /**
   * Derives a client that shares the threads of another one.
   *
   * @param client the other client
   * @return the builder of a client that uses no connection twice and repeats no call
   */
  static OkHttpClient.Builder of(final OkHttpClient client) {
    return client
        .newBuilder()
        .retryOnConnectionFailure(false)
        .connectionPool(new ConnectionPool(IDLE_CONNECTIONS, 1, TimeUnit.SECONDS));
  }
}
