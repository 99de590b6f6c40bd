package org.bulrushweir.node;

import java.util.List;
import okhttp3.ConnectionSpec;
import okhttp3.HttpUrl;
import okhttp3.OkHttpClient;
import org.bulrushweir.kernel.KernelService;
import org.bulrushweir.platform.EngineCacheClient;
import org.bulrushweir.platform.HttpPlatformStore;
import org.bulrushweir.settings.ProcessSettings;
import org.bulrushweir.store.ChangeFeed;
import org.bulrushweir.store.PlatformStore;

/** Gives the other services access to the platform. */
public final class PlatformService implements KernelService {

  /**
   * How long a call of a gateway may take besides what it is asked to wait, in milliseconds: well
   * below the time within which configurations are in force.
   */
  public static final long GATEWAY_TIMEOUT_MS = 700;

  /**
   * The largest number of calls to the store at a time. A gateway has two long polls, a probe
   * beside each, reads and writes; with the default of 5 a probe could wait for the end of a poll.
   */
  private static final int MAX_STORE_CALLS = 16;

  private final OkHttpClient client;
  private final HttpPlatformStore store;

  /**
   * Creates the service.
   *
   * @param settings the process's settings
   */
  public PlatformService(final ProcessSettings settings) {
    this(settings.platform(), settings.platformTimeoutMs());
  }

  /**
   * Creates the service.
   *
   * @param platform the platform's base URL
   * @param timeoutMs how long a call may take, in milliseconds
   */
  public PlatformService(final HttpUrl platform, final long timeoutMs) {
    this.client = client(platform);
    client.dispatcher().setMaxRequestsPerHost(MAX_STORE_CALLS);
    this.store = new HttpPlatformStore(client, platform, timeoutMs);
  }

  /** Builds a client; one that needs no TLS does not load its certificates, which takes long. */
  private static OkHttpClient client(final HttpUrl platform) {
    if (platform.isHttps()) {
      return new OkHttpClient();
    }
    return new OkHttpClient.Builder().connectionSpecs(List.of(ConnectionSpec.CLEARTEXT)).build();
  }

  /**
   * Returns the feed of changes.
   *
   * @return the feed
   */
  public ChangeFeed feed() {
    return store;
  }

  /**
   * Returns the platform's store.
   *
   * @return the store
   */
  public PlatformStore store() {
    return store;
  }

  /**
   * Returns a client of the engines' caches.
   *
   * @param timeoutMs how long a call may take, in milliseconds
   * @return the client
   */
  public EngineCacheClient engineCaches(final long timeoutMs) {
    return new EngineCacheClient(client, timeoutMs);
  }

  @Override
  public void start() {
    // Connections are opened on demand.
  }

  @Override
  public void stop() {
    client.dispatcher().executorService().shutdown();
    client.connectionPool().evictAll();
  }
}
