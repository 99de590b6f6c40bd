package org.bulrushweir.node;

import okhttp3.OkHttpClient;
import org.bulrushweir.kernel.KernelService;
import org.bulrushweir.platform.HttpPlatformStore;
import org.bulrushweir.platform.PlatformStore;
import org.bulrushweir.settings.ProcessSettings;

/** Gives the other services access to the platform. */
public final class PlatformService implements KernelService {

  private final OkHttpClient client = new OkHttpClient();
  private final PlatformStore store;

  /**
   * Creates the service.
   *
   * @param settings the process's settings
   */
  public PlatformService(final ProcessSettings settings) {
    this.store = new HttpPlatformStore(client, settings.platform(), settings.platformTimeoutMs());
  }

  /**
   * Returns the platform's store.
   *
   * @return the store
   */
  public PlatformStore store() {
    return store;
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
