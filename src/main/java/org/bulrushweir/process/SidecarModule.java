package org.bulrushweir.process;

import dagger.Module;
import dagger.Provides;
import dagger.multibindings.IntoMap;
import dagger.multibindings.StringKey;
import javax.inject.Singleton;
import org.bulrushweir.api.Clock;
import org.bulrushweir.engine.EngineClient;
import org.bulrushweir.kernel.ServiceFactory;
import org.bulrushweir.metrics.FleetMetrics;
import org.bulrushweir.node.AdminHttpService;
import org.bulrushweir.node.AdminService;
import org.bulrushweir.node.ConfigService;
import org.bulrushweir.node.FleetService;
import org.bulrushweir.node.GossipService;
import org.bulrushweir.node.PeerService;
import org.bulrushweir.node.PlatformService;
import org.bulrushweir.node.ServiceNames;
import org.bulrushweir.settings.ProcessSettings;
import org.bulrushweir.sidecar.OrderService;
import org.bulrushweir.sidecar.SidecarService;
import org.bulrushweir.sidecar.SidecarStatus;
import org.bulrushweir.timeline.EventLog;
import org.bulrushweir.wire.PeerIdentity;

/** Provides the services of a sidecar. */
@Module
final class SidecarModule {

  private SidecarModule() {}

  @Provides
  @Singleton
  static EngineClient engine(final ProcessSettings settings) {
    return new EngineClient(settings.endpoint());
  }

  /**
   * Provides the factory of the sidecar.
   *
   * @param settings the process's settings
   * @param self who this process is
   * @param clock the clock
   * @param engine calls the endpoint
   * @param events the events of this process
   * @return the factory
   */
  @Provides
  @IntoMap
  @StringKey(ServiceNames.SIDECAR)
  static ServiceFactory sidecar(
      final ProcessSettings settings,
      final PeerIdentity self,
      final Clock clock,
      final EngineClient engine,
      final EventLog events) {
    return services ->
        SidecarService.create(
            settings,
            self,
            clock,
            engine,
            events,
            services.find(ServiceNames.PLATFORM, PlatformService.class).store(),
            services.find(ServiceNames.FLEET, FleetService.class),
            services.find(ServiceNames.GOSSIP, GossipService.class),
            services.find(ServiceNames.PEERS, PeerService.class),
            services.find(ServiceNames.CONFIGURATION, ConfigService.class));
  }

  /**
   * Provides the factory of the orders to the engine.
   *
   * @param settings the process's settings
   * @param self who this process is
   * @param clock the clock
   * @param engine calls the engine
   * @param events the events of this process
   * @return the factory
   */
  @Provides
  @IntoMap
  @StringKey(ServiceNames.ORDERS)
  static ServiceFactory orders(
      final ProcessSettings settings,
      final PeerIdentity self,
      final Clock clock,
      final EngineClient engine,
      final EventLog events) {
    return services ->
        new OrderService(
            self,
            settings.service(),
            clock,
            engine,
            services.find(ServiceNames.PLATFORM, PlatformService.class).store(),
            services.find(ServiceNames.FLEET, FleetService.class),
            services.find(ServiceNames.CONFIGURATION, ConfigService.class),
            events);
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
    return services ->
        new AdminService(
            "sidecar",
            services.find(ServiceNames.PEERS, PeerService.class),
            services.find(ServiceNames.CONFIGURATION, ConfigService.class),
            services.find(ServiceNames.FLEET, FleetService.class),
            services.find(ServiceNames.GOSSIP, GossipService.class),
            new SidecarStatus(
                services.find(ServiceNames.SIDECAR, SidecarService.class).core(),
                services.find(ServiceNames.ORDERS, OrderService.class),
                metrics),
            events,
            metrics);
  }

  /**
   * Provides the factory of the HTTP server for scrapers of metrics.
   *
   * @param settings the process's settings
   * @param metrics the metrics of this process
   * @return the factory
   */
  @Provides
  @IntoMap
  @StringKey(ServiceNames.HTTP)
  static ServiceFactory http(final ProcessSettings settings, final FleetMetrics metrics) {
    return services ->
        new AdminHttpService(
            settings, services.find(ServiceNames.CONFIGURATION, ConfigService.class), metrics);
  }
}
