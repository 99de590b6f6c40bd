package org.bulrushweir.standin;

import io.javalin.Javalin;
import io.javalin.config.JavalinConfig;
import java.util.function.Consumer;

/** Starts the small HTTP servers of the stand-ins. */
final class StandInServer {

  private StandInServer() {}

  /**
   * Starts a server.
   *
   * @param host the IP number to bind
   * @param port the port, zero for any
   * @param routes adds the routes
   * @return the running server
   */
  static Javalin start(final String host, final int port, final Consumer<JavalinConfig> routes) {
    return Javalin.create(
            config -> {
              config.startup.showJavalinBanner = false;
              config.startup.showOldJavalinVersionWarning = false;
              config.concurrency.useVirtualThreads = true;
              routes.accept(config);
            })
        .start(host, port);
  }
}
