package org.bulrushweir.process;

import dagger.Module;
import dagger.Provides;
import dagger.multibindings.IntoMap;
import dagger.multibindings.StringKey;
import java.util.SplittableRandom;
import javax.inject.Singleton;
import org.bulrushweir.api.Clock;
import org.bulrushweir.api.Incarnation;
import org.bulrushweir.kernel.ServiceFactory;
import org.bulrushweir.metrics.FleetMetrics;
import org.bulrushweir.node.ConfigService;
import org.bulrushweir.node.FleetService;
import org.bulrushweir.node.GossipService;
import org.bulrushweir.node.PeerService;
import org.bulrushweir.node.PlatformService;
import org.bulrushweir.node.ServiceNames;
import org.bulrushweir.settings.ProcessSettings;
import org.bulrushweir.timeline.EventLog;
import org.bulrushweir.timeline.HybridClock;
import org.bulrushweir.wire.PeerIdentity;

/** Provides what routers and sidecars have in common. */
@Module(includes = KernelModule.class)
final class NodeModule {

  private NodeModule() {}

  @Provides
  @Singleton
  static PeerIdentity self(final ProcessSettings settings, final Clock clock) {
    return new PeerIdentity(settings.node(), new Incarnation(clock.nowMs()), settings.zone());
  }

  @Provides
  @Singleton
  static EventLog events(final ProcessSettings settings, final Clock clock) {
    return new EventLog(settings.node(), new HybridClock(clock));
  }

  @Provides
  @Singleton
  static FleetMetrics metrics() {
    return new FleetMetrics();
  }

  @Provides
  @IntoMap
  @StringKey(ServiceNames.PLATFORM)
  static ServiceFactory platform(final ProcessSettings settings) {
    return services -> new PlatformService(settings);
  }

  /**
   * Provides the factory of the configuration.
   *
   * @param settings the process's settings
   * @return the factory
   */
  @Provides
  @IntoMap
  @StringKey(ServiceNames.CONFIGURATION)
  static ServiceFactory configuration(final ProcessSettings settings) {
    return services ->
        new ConfigService(
            services.find(ServiceNames.PLATFORM, PlatformService.class).store(),
            new SplittableRandom(),
            settings.configPollMs());
  }

  /**
   * Provides the factory of what the process knows of the fleet.
   *
   * @param settings the process's settings
   * @param clock the clock
   * @return the factory
   */
  @Provides
  @IntoMap
  @StringKey(ServiceNames.FLEET)
  static ServiceFactory fleet(final ProcessSettings settings, final Clock clock) {
    return services ->
        new FleetService(
            services.find(ServiceNames.PLATFORM, PlatformService.class).store(),
            clock,
            new SplittableRandom(),
            settings.vmPollMs());
  }

  /**
   * Provides the factory of the exchange of reports.
   *
   * @param settings the process's settings
   * @return the factory
   */
  @Provides
  @IntoMap
  @StringKey(ServiceNames.GOSSIP)
  static ServiceFactory gossip(final ProcessSettings settings) {
    return services ->
        new GossipService(
            settings,
            services.find(ServiceNames.FLEET, FleetService.class),
            services.find(ServiceNames.CONFIGURATION, ConfigService.class),
            services.find(ServiceNames.PEERS, PeerService.class),
            new SplittableRandom());
  }

  /**
   * Provides the factory of the connections with peers.
   *
   * @param settings the process's settings
   * @param self who this process is
   * @param events the events of this process
   * @return the factory
   */
  @Provides
  @IntoMap
  @StringKey(ServiceNames.PEERS)
  static ServiceFactory peers(
      final ProcessSettings settings, final PeerIdentity self, final EventLog events) {
    return services ->
        new PeerService(
            settings, self, services.find(ServiceNames.CONFIGURATION, ConfigService.class), events);
  }
}
