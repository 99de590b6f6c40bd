package org.bulrushweir.process;

import dagger.Module;
import dagger.Provides;
import dagger.multibindings.IntoMap;
import dagger.multibindings.StringKey;
import javax.inject.Singleton;
import org.bulrushweir.api.Clock;
import org.bulrushweir.gateway.CallersSocketService;
import org.bulrushweir.gateway.EventLoopService;
import org.bulrushweir.gateway.GatewayMetrics;
import org.bulrushweir.gateway.GatewayService;
import org.bulrushweir.gateway.LoopDelayLog;
import org.bulrushweir.kernel.ServiceFactory;
import org.bulrushweir.kernel.StopSignal;
import org.bulrushweir.logging.AsyncLogWriter;
import org.bulrushweir.node.PlatformService;
import org.bulrushweir.node.ServiceNames;
import org.bulrushweir.settings.GatewaySettings;

/** Provides the services of a gateway. */
@Module(includes = KernelModule.class)
final class GatewayModule {

  private GatewayModule() {}

  @Provides
  @Singleton
  static GatewayMetrics metrics() {
    return new GatewayMetrics();
  }

  @Provides
  @Singleton
  static StopSignal stopSignal() {
    return new StopSignal();
  }

  @Provides
  @IntoMap
  @StringKey(ServiceNames.PLATFORM)
  static ServiceFactory platform(final GatewaySettings settings) {
    return services -> new PlatformService(settings.platform(), PlatformService.GATEWAY_TIMEOUT_MS);
  }

  @Provides
  @IntoMap
  @StringKey(ServiceNames.CALLERS_SOCKET)
  static ServiceFactory callersSocket(final GatewaySettings settings, final Clock clock) {
    return services -> new CallersSocketService(settings.callers(), clock);
  }

  @Provides
  @IntoMap
  @StringKey(ServiceNames.EVENT_LOOP)
  static ServiceFactory eventLoop(final Clock clock, final GatewayMetrics metrics) {
    return services -> new EventLoopService(clock, new LoopDelayLog(metrics)::record);
  }

  /**
   * Provides the factory of the gateway itself.
   *
   * @param settings the gateway's settings
   * @param clock the clock
   * @param stopSignal tells when the process was told to stop
   * @param metrics the metrics
   * @param log takes a line for each decision
   * @return the factory
   */
  @Provides
  @IntoMap
  @StringKey(ServiceNames.GATEWAY)
  static ServiceFactory gateway(
      final GatewaySettings settings,
      final Clock clock,
      final StopSignal stopSignal,
      final GatewayMetrics metrics,
      final AsyncLogWriter log) {
    return services -> {
      final PlatformService platform = services.find(ServiceNames.PLATFORM, PlatformService.class);
      return new GatewayService(
          settings,
          clock,
          stopSignal,
          services.find(ServiceNames.CALLERS_SOCKET, CallersSocketService.class),
          services.find(ServiceNames.EVENT_LOOP, EventLoopService.class),
          platform.feed(),
          platform.engineCaches(PlatformService.GATEWAY_TIMEOUT_MS),
          metrics,
          log);
    };
  }
}
