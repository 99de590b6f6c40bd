package org.bulrushweir.process;

import dagger.Module;
import dagger.Provides;
import dagger.multibindings.IntoMap;
import dagger.multibindings.StringKey;
import java.util.SplittableRandom;
import org.bulrushweir.api.Clock;
import org.bulrushweir.kernel.ServiceFactory;
import org.bulrushweir.node.ConfigService;
import org.bulrushweir.node.FleetService;
import org.bulrushweir.node.PeerService;
import org.bulrushweir.node.ServiceNames;
import org.bulrushweir.router.LinkService;
import org.bulrushweir.router.RequestDriver;
import org.bulrushweir.router.RouterHttpService;
import org.bulrushweir.settings.ProcessSettings;

/** Provides the services of a router. */
@Module
final class RouterModule {

  private RouterModule() {}

  /**
   * Provides the factory of the links to endpoints.
   *
   * @param clock the clock
   * @return the factory
   */
  @Provides
  @IntoMap
  @StringKey(ServiceNames.LINKS)
  static ServiceFactory links(final Clock clock) {
    return services ->
        new LinkService(
            services.find(ServiceNames.PEERS, PeerService.class),
            clock,
            services.find(ServiceNames.FLEET, FleetService.class));
  }

  /**
   * Provides the factory of the server for callers.
   *
   * @param settings the process's settings
   * @param clock the clock
   * @return the factory
   */
  @Provides
  @IntoMap
  @StringKey(ServiceNames.HTTP)
  static ServiceFactory http(final ProcessSettings settings, final Clock clock) {
    return services ->
        new RouterHttpService(
            settings,
            services.find(ServiceNames.CONFIGURATION, ConfigService.class),
            new RequestDriver(
                services.find(ServiceNames.LINKS, LinkService.class),
                services.find(ServiceNames.FLEET, FleetService.class),
                clock,
                new SplittableRandom()),
            clock);
  }
}
