package org.bulrushweir.process;

import dagger.Module;
import dagger.Provides;
import dagger.multibindings.IntoMap;
import dagger.multibindings.StringKey;
import java.util.SplittableRandom;
import org.bulrushweir.api.Clock;
import org.bulrushweir.kernel.ServiceFactory;
import org.bulrushweir.metrics.FleetMetrics;
import org.bulrushweir.node.AdminService;
import org.bulrushweir.node.ConfigService;
import org.bulrushweir.node.FleetService;
import org.bulrushweir.node.GossipService;
import org.bulrushweir.node.PeerService;
import org.bulrushweir.node.ServiceNames;
import org.bulrushweir.router.EndpointLinkService;
import org.bulrushweir.router.RequestDriver;
import org.bulrushweir.router.RouterHttpService;
import org.bulrushweir.settings.ProcessSettings;
import org.bulrushweir.timeline.EventLog;

/** Provides the services of a router. */
@Module
final class RouterModule {

  private RouterModule() {}

  /**
   * Provides the factory of the links to endpoints.
   *
   * @param clock the clock
   * @param events the events of this process
   * @return the factory
   */
  @Provides
  @IntoMap
  @StringKey(ServiceNames.LINKS)
  static ServiceFactory links(final Clock clock, final EventLog events) {
    return services ->
        new EndpointLinkService(
            services.find(ServiceNames.PEERS, PeerService.class),
            clock,
            services.find(ServiceNames.FLEET, FleetService.class),
            events);
  }

  /**
   * Provides the factory of the server for callers.
   *
   * @param settings the process's settings
   * @param clock the clock
   * @param events the events of this process
   * @param metrics the metrics of this process
   * @return the factory
   */
  @Provides
  @IntoMap
  @StringKey(ServiceNames.HTTP)
  static ServiceFactory http(
      final ProcessSettings settings,
      final Clock clock,
      final EventLog events,
      final FleetMetrics metrics) {
    return services -> {
      final RequestDriver driver =
          new RequestDriver(
              services.find(ServiceNames.LINKS, EndpointLinkService.class),
              services.find(ServiceNames.FLEET, FleetService.class),
              clock,
              new SplittableRandom(),
              events,
              metrics);
      return new RouterHttpService(
          settings,
          services.find(ServiceNames.CONFIGURATION, ConfigService.class),
          driver,
          metrics);
    };
  }

  /**
   * Provides the factory of the answers to operators' questions.
   *
   * @param events the events of this process
   * @param metrics the metrics of this process
   * @return the factory
   */
  @Provides
  @IntoMap
  @StringKey(ServiceNames.ADMIN)
  static ServiceFactory admin(final EventLog events, final FleetMetrics metrics) {
    return services -> {
      final RouterHttpService http = services.find(ServiceNames.HTTP, RouterHttpService.class);
      return new AdminService(
          "router",
          services.find(ServiceNames.PEERS, PeerService.class),
          services.find(ServiceNames.CONFIGURATION, ConfigService.class),
          services.find(ServiceNames.FLEET, FleetService.class),
          services.find(ServiceNames.GOSSIP, GossipService.class),
          report -> report.setInFlight(http.inFlight()).setLeaving(http.isDraining()),
          events,
          metrics);
    };
  }
}
