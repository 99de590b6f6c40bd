package org.bulrushweir.soak;

import java.util.List;
import java.util.function.LongConsumer;
import org.bulrushweir.standin.PlatformFaults;
import org.bulrushweir.standin.PlatformStandIn;

/** Performs the steps of a soak. */
final class Injector {

  private static final long MAX_DELAY_MS = 300;

  /** How long endpoints that leave go on serving, in milliseconds. */
  private static final long LEAVING_MS = 2_200;

  private static final List<EndpointMode> MODES =
      List.of(
          EndpointMode.RESET,
          EndpointMode.CUT,
          EndpointMode.SILENT,
          EndpointMode.REFUSE,
          EndpointMode.REFUSE_UNPROVEN,
          EndpointMode.ERROR);

  private final List<GatewayControl> gateways;
  private final List<SoakEndpoint> endpoints;
  private final List<FaultProxy> storeLinks;
  private final PlatformStandIn platform;
  private final Configurations configurations;
  private final Impairments impairments;
  private final SoakClock clock;
  private final boolean stuttering;

  /**
   * Creates an injector.
   *
   * @param gateways the gateways
   * @param endpoints the endpoints
   * @param storeLinks the gateways' links to the store
   * @param platform the store
   * @param configurations takes what the operator writes
   * @param impairments takes what is impaired
   * @param clock the clock
   * @param stuttering whether endpoints may repeat answers
   */
  Injector(
      final List<GatewayControl> gateways,
      final List<SoakEndpoint> endpoints,
      final List<FaultProxy> storeLinks,
      final PlatformStandIn platform,
      final Configurations configurations,
      final Impairments impairments,
      final SoakClock clock,
      final boolean stuttering) {
    this.gateways = gateways;
    this.endpoints = endpoints;
    this.storeLinks = storeLinks;
    this.platform = platform;
    this.configurations = configurations;
    this.impairments = impairments;
    this.clock = clock;
    this.stuttering = stuttering;
  }

  /**
   * Performs a step.
   *
   * @param step the step
   * @throws InterruptedException if the thread is interrupted
   */
  void perform(final Step step) throws InterruptedException {
    final GatewayControl gateway = gateways.get(step.target() % gateways.size());
    final SoakEndpoint endpoint = endpoints.get(step.target() % endpoints.size());
    switch (step.fault()) {
      case GATEWAY_STOP -> gateway.stop(step.lengthMs() / 4);
      case GATEWAY_KILL -> gateway.kill(step.lengthMs() / 4);
      case GATEWAY_PAUSE -> gateway.pause(step.lengthMs());
      case GATEWAY_HANGUP -> gateway.hangUp();
      case ENDPOINT_LINK -> harm(endpoint.name(), endpoint.proxy(), step);
      case ENDPOINT_CRASH -> crash(endpoint, step);
      case ENDPOINT_LEAVE -> leave(endpoint, step);
      case ENDPOINT_MODE -> misbehave(endpoint, MODES.get(step.variant() % MODES.size()), step);
      case ENDPOINT_STUTTER -> {
        if (stuttering) {
          misbehave(endpoint, EndpointMode.STUTTER, step);
        }
      }
      case STORE_LINK -> {
        final int index = step.target() % storeLinks.size();
        harm(gateways.get(index).gateway().name(), storeLinks.get(index), step);
      }
      case STORE_OUTAGE -> harmStore(new PlatformFaults(true, false, 0, 0, 0, false), step);
      case STORE_SLOW ->
          harmStore(
              new PlatformFaults(false, false, step.variant() % MAX_DELAY_MS, 0, 0, false), step);
      case STORE_LOST_ANSWERS ->
          harmStore(new PlatformFaults(false, false, 0, 1 + step.variant() % 3, 0, false), step);
      case CONFIGURATION ->
          configurations.write(step.variant() % 2 == 0 ? "orders" : "stock", clock);
      default -> throw new IllegalArgumentException(step.toString());
    }
  }

  private void harm(final String name, final FaultProxy proxy, final Step step)
      throws InterruptedException {
    final LinkFault[] faults = LinkFault.values();
    final LinkFault fault = faults[1 + step.variant() % (faults.length - 1)];
    final LongConsumer impairment = impairments.begin(name, clock.nowMs());
    proxy.misbehaveAs(fault, 1 + step.variant() % MAX_DELAY_MS);
    Thread.sleep(step.lengthMs());
    proxy.misbehaveAs(LinkFault.NONE, 0);
    impairment.accept(clock.nowMs());
  }

  private void crash(final SoakEndpoint endpoint, final Step step) throws InterruptedException {
    final LongConsumer impairment = impairments.begin(endpoint.name(), clock.nowMs());
    endpoint.crash();
    Thread.sleep(step.lengthMs() / 3);
    endpoint.restart(step.variant() % 2 == 0);
    impairment.accept(clock.nowMs());
  }

  private void leave(final SoakEndpoint endpoint, final Step step) throws InterruptedException {
    if (endpoint.isLeaving()) {
      return;
    }
    endpoint.leave(step.variant() % 3 > 0);
    Thread.sleep(LEAVING_MS + step.lengthMs());
    final LongConsumer impairment = impairments.begin(endpoint.name(), clock.nowMs());
    endpoint.crash();
    endpoint.restart(false);
    impairment.accept(clock.nowMs());
  }

  private void misbehave(final SoakEndpoint endpoint, final EndpointMode mode, final Step step)
      throws InterruptedException {
    endpoint.misbehaveAs(mode);
    Thread.sleep(step.lengthMs());
    endpoint.misbehaveAs(EndpointMode.SOUND);
  }

  private void harmStore(final PlatformFaults faults, final Step step) throws InterruptedException {
    final LongConsumer impairment = impairments.begin(Checker.STORE, clock.nowMs());
    platform.misbehaveAs(faults);
    Thread.sleep(step.lengthMs());
    platform.misbehaveAs(PlatformFaults.NONE);
    impairment.accept(clock.nowMs());
  }
}
