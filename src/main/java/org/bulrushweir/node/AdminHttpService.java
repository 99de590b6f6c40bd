package org.bulrushweir.node;

import io.javalin.Javalin;
import io.javalin.config.JavalinConfig;
import io.javalin.http.Context;
import io.javalin.http.HttpStatus;
import org.bulrushweir.kernel.KernelService;
import org.bulrushweir.metrics.FleetMetrics;
import org.bulrushweir.settings.ProcessSettings;

/** Serves health checks and metrics over HTTP. */
public final class AdminHttpService implements KernelService {

  /** The process's settings. */
  private final ProcessSettings settings;

  /** The configuration in force. */
  private final ConfigService configuration;

  /** The metrics of this process. */
  private final FleetMetrics metrics;

  /** The server, null before the start. */
  private Javalin server;

  /**
   * Creates the service.
   *
   * @param settings the process's settings
   * @param configuration the configuration in force
   * @param metrics the metrics of this process
   */
  public AdminHttpService(
      final ProcessSettings settings,
      final ConfigService configuration,
      final FleetMetrics metrics) {
    this.settings = settings;
    this.configuration = configuration;
    this.metrics = metrics;
  }

  @Override
  public void start() {
    server =
        Javalin.create(
                config -> {
                  config.startup.showJavalinBanner = false;
                  config.startup.showOldJavalinVersionWarning = false;
                  config.concurrency.useVirtualThreads = true;
                  addRoutes(config);
                })
            .start(settings.http().host(), settings.http().port());
  }

  private void addRoutes(final JavalinConfig config) {
    config.routes.get("/health", ctx -> ctx.result("ok"));
    config.routes.get("/ready", this::ready);
    config.routes.get(
        "/metrics", ctx -> ctx.contentType(FleetMetrics.MEDIA_TYPE).result(metrics.text()));
  }

  private void ready(final Context ctx) {
    if (configuration.inForce().isEmpty()) {
      ctx.status(HttpStatus.SERVICE_UNAVAILABLE).result("not ready");
      return;
    }
    ctx.result("ready");
  }

  @Override
  public void stop() {
    server.stop();
  }
}
