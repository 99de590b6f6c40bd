package org.bulrushweir.demo;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executor;
import org.bulrushweir.api.EndpointId;
import org.bulrushweir.api.ServiceName;
import org.bulrushweir.gateway.EventLoopService;
import org.bulrushweir.gateway.GatewayService;
import org.bulrushweir.kernel.SystemClock;
import org.bulrushweir.logging.AsyncLogWriter;
import org.bulrushweir.node.ServiceNames;
import org.bulrushweir.platform.ExampleConfiguration;
import org.bulrushweir.platform.RoutingPlanDecoder;
import org.bulrushweir.process.DaggerGatewayComponent;
import org.bulrushweir.process.GatewayComponent;
import org.bulrushweir.settings.GatewaySettings;
import org.bulrushweir.settings.GatewaySettingsLoader;
import org.bulrushweir.standin.DirectEndpointStandIn;
import org.bulrushweir.standin.PlatformStandIn;
import org.bulrushweir.standin.StandInStream;
import org.bulrushweir.store.SharedTable;

/** Runs gateways, a platform and endpoints in this process, on loopback. */
public final class DemoFleet implements AutoCloseable {

  /** The service that answers chats. */
  public static final ServiceName ASSISTANT = new ServiceName("assistant");

  /** The service that takes orders. */
  public static final ServiceName ORDERS = new ServiceName("orders");

  private static final String HOST = "127.0.0.1";

  private final Map<EndpointId, DirectEndpointStandIn> endpoints = new LinkedHashMap<>();
  private final List<GatewayComponent> gateways = new ArrayList<>();
  private final List<AsyncLogWriter> logs = new ArrayList<>();
  private final PlatformStandIn platform = new PlatformStandIn(HOST, 0, new SystemClock(), 0);
  private final PrintStream log;
  private final long graceMs;

  /**
   * Starts a fleet of the platform only.
   *
   * @param log takes the gateways' logs
   * @param graceMs how long gateways may take to stop, in milliseconds
   */
  public DemoFleet(final PrintStream log, final long graceMs) {
    this.log = log;
    this.graceMs = graceMs;
    configure(1);
  }

  /**
   * Puts a version of the example configuration in force.
   *
   * @param version the version
   */
  public void configure(final long version) {
    configure(ExampleConfiguration.text(version));
  }

  /**
   * Puts a configuration in force.
   *
   * @param text the configuration as the platform keeps it
   */
  public void configure(final String text) {
    platform.put(SharedTable.CONFIGURATION, RoutingPlanDecoder.ROW_KEY, text);
  }

  /**
   * Returns the platform.
   *
   * @return the stand-in
   */
  public PlatformStandIn platform() {
    return platform;
  }

  /**
   * Starts an endpoint.
   *
   * @param name its name
   * @param service its service
   * @param stream how its streams look, null for calls
   * @return the endpoint
   */
  public DirectEndpointStandIn startEndpoint(
      final String name, final ServiceName service, final StandInStream stream) {
    final EndpointId id = new EndpointId(name);
    final DirectEndpointStandIn endpoint = new DirectEndpointStandIn(platform, id, service, stream);
    endpoints.put(id, endpoint);
    return endpoint;
  }

  /**
   * Returns the endpoints.
   *
   * @return the endpoints by id
   */
  public Map<EndpointId, DirectEndpointStandIn> endpoints() {
    return endpoints;
  }

  /**
   * Starts a gateway.
   *
   * @param name its name
   * @return the running gateway
   */
  public GatewayService startGateway(final String name) {
    return startGateway(name, "");
  }

  /**
   * Starts a gateway with further settings.
   *
   * @param name its name
   * @param tables further tables of its settings, as TOML
   * @return the running gateway
   */
  public GatewayService startGateway(final String name, final String tables) {
    final GatewaySettings settings =
        GatewaySettingsLoader.load(
            name,
            """
            node = "%s"
            availability_zone = "zone-1"
            grace_ms = %d
            [listen]
            callers = "127.0.0.1:0"
            readiness = "127.0.0.1:0"
            metrics = "127.0.0.1:0"
            peers = "127.0.0.1:0"
            [platform]
            url = "http://127.0.0.1:%d"
            %s
            """
                .formatted(name, graceMs, platform.port(), tables));
    final AsyncLogWriter writer = new AsyncLogWriter(log, AsyncLogWriter.DEFAULT_CAPACITY);
    final GatewayComponent gateway = DaggerGatewayComponent.factory().create(settings, writer);
    gateway.kernel().start();
    gateways.add(gateway);
    logs.add(writer);
    return gateway.kernel().find(ServiceNames.GATEWAY, GatewayService.class);
  }

  /**
   * Returns the event loop of a gateway.
   *
   * @param index its number in the order of the starts, counted from zero
   * @return the executor of all of its work
   */
  public Executor loop(final int index) {
    return gateways
        .get(index)
        .kernel()
        .find(ServiceNames.EVENT_LOOP, EventLoopService.class)
        .loop();
  }

  /**
   * Stops a gateway as a stop signal would.
   *
   * @param index its number in the order of the starts, counted from zero
   */
  public void stopGateway(final int index) {
    stopGateway(index, new SystemClock().nowMs());
  }

  /**
   * Stops a gateway as an earlier stop signal would.
   *
   * @param index its number in the order of the starts, counted from zero
   * @param signalMs the time of the signal, in Unix milliseconds
   */
  public void stopGateway(final int index, final long signalMs) {
    gateways.get(index).stopSignal().receive(signalMs);
    gateways.get(index).kernel().stop();
  }

  @Override
  public void close() {
    gateways.forEach(gateway -> gateway.kernel().stop());
    endpoints.values().forEach(DirectEndpointStandIn::close);
    platform.close();
    logs.forEach(AsyncLogWriter::close);
  }
}
