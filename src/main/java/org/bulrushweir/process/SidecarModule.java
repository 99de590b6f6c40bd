package org.bulrushweir.process;

import dagger.Module;
import dagger.Provides;
import dagger.multibindings.IntoMap;
import dagger.multibindings.StringKey;
import org.bulrushweir.api.Clock;
import org.bulrushweir.kernel.ServiceFactory;
import org.bulrushweir.node.ConfigService;
import org.bulrushweir.node.FleetService;
import org.bulrushweir.node.PeerService;
import org.bulrushweir.node.PlatformService;
import org.bulrushweir.node.ServiceNames;
import org.bulrushweir.settings.ProcessSettings;
import org.bulrushweir.sidecar.SidecarService;
import org.bulrushweir.wire.PeerIdentity;

/** Provides the services of a sidecar. */
@Module
final class SidecarModule {

  private SidecarModule() {}

  /**
   * Provides the factory of the sidecar.
   *
   * @param settings the process's settings
   * @param self who this process is
   * @param clock the clock
   * @return the factory
   */
  @Provides
  @IntoMap
  @StringKey(ServiceNames.SIDECAR)
  static ServiceFactory sidecar(
      final ProcessSettings settings, final PeerIdentity self, final Clock clock) {
    return services ->
        SidecarService.create(
            settings,
            self,
            clock,
            services.find(ServiceNames.PLATFORM, PlatformService.class).store(),
            services.find(ServiceNames.FLEET, FleetService.class),
            services.find(ServiceNames.PEERS, PeerService.class),
            services.find(ServiceNames.CONFIGURATION, ConfigService.class));
  }
}
