package org.bulrushweir.platform;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import org.bulrushweir.api.Finding;
import org.bulrushweir.api.FindingCollector;
import org.bulrushweir.api.OrganisationId;
import org.bulrushweir.api.ServiceName;
import org.bulrushweir.catalog.CallerLimits;
import org.bulrushweir.catalog.RequestKind;
import org.bulrushweir.catalog.Route;
import org.bulrushweir.catalog.RoutingPlan;
import org.bulrushweir.catalog.ServicePlan;
import org.bulrushweir.catalog.Tenant;
import org.bulrushweir.catalog.WeightedService;

/** Decodes the operators' configuration. What can't be read is left out and becomes a finding. */
public final class RoutingPlanDecoder {

  /** The key of the row that holds the configuration. */
  public static final String ROW_KEY = "config";

  private static final String TENANTS = "tenants";

  /** The time-out of a route that names none, in milliseconds: a minute, as is usual for HTTP. */
  private static final int DEFAULT_TIMEOUT_MS = 60_000;

  /** The target of a route that names none, in milliseconds. */
  private static final int DEFAULT_TARGET_MS = 1_000;

  /**
   * Decodes a configuration.
   *
   * @param text the JSON text
   * @param findings what can't be read
   * @return the plan, empty if the text is no configuration at all
   */
  public Optional<RoutingPlan> decode(final String text, final FindingCollector findings) {
    final JsonReader root;
    try {
      root = new JsonReader("configuration", JsonReader.MAPPER.readTree(text), findings);
    } catch (JsonProcessingException e) {
      findings.add(new Finding("configuration", 0, 0, "is not JSON: " + e.getOriginalMessage()));
      return Optional.empty();
    }
    if (!root.isObject() || !root.has("version") || !root.has("routes")) {
      root.report("version", "or \"routes\" is missing");
      return Optional.empty();
    }
    return Optional.of(
        new RoutingPlan(
            root.integer("version"),
            routes(root),
            services(root),
            root.names(TENANTS),
            tenants(root),
            root.has("limits") ? limits(root.child("limits")) : CallerLimits.DEFAULT));
  }

  private static List<Route> routes(final JsonReader root) {
    final List<Route> routes = new ArrayList<>();
    for (int index = 0; index < root.size("routes"); index++) {
      route(root.element("routes", index)).ifPresent(routes::add);
    }
    return routes;
  }

  private static Optional<Route> route(final JsonReader reader) {
    final List<WeightedService> services = weightedServices(reader);
    final Optional<RequestKind> kind = kind(reader);
    final String host = reader.text("host");
    final String prefix = reader.text("prefix");
    if (services.isEmpty() || kind.isEmpty() || host.isEmpty() || prefix.isEmpty()) {
      return Optional.empty();
    }
    return Optional.of(
        new Route(
            reader.has("name") ? reader.text("name") : host + prefix,
            host.toLowerCase(Locale.ROOT),
            prefix,
            kind.get(),
            reader.saturatedInt("timeout_ms", DEFAULT_TIMEOUT_MS),
            reader.saturatedInt("target_latency_ms", DEFAULT_TARGET_MS),
            reader.saturatedInt("priority", 0),
            services,
            Math.max(1, reader.saturatedInt("max_attempts", 1)),
            reader.flag("public"),
            reader.flag("sticky"),
            reader.flag("resumable")));
  }

  private static Optional<RequestKind> kind(final JsonReader reader) {
    return switch (reader.text("kind")) {
      case "safe" -> Optional.of(RequestKind.SAFE);
      case "unsafe" -> Optional.of(RequestKind.UNSAFE);
      case "streaming" -> Optional.of(RequestKind.STREAM);
      default -> {
        reader.report("kind", "is none that is known");
        yield Optional.empty();
      }
    };
  }

  private static List<WeightedService> weightedServices(final JsonReader reader) {
    final List<WeightedService> services = new ArrayList<>();
    if (!reader.has("traffic_split")) {
      reader
          .value("service", ServiceName::new)
          .ifPresent(name -> services.add(new WeightedService(name, 1)));
      return services;
    }
    for (int index = 0; index < reader.size("traffic_split"); index++) {
      final JsonReader entry = reader.element("traffic_split", index);
      final int weight = entry.requiredSaturatedInt("weight", 0);
      entry
          .value("service", ServiceName::new)
          .ifPresent(name -> services.add(new WeightedService(name, weight)));
    }
    return services;
  }

  private static List<ServicePlan> services(final JsonReader root) {
    final List<ServicePlan> services = new ArrayList<>();
    for (int index = 0; index < root.size("services"); index++) {
      final JsonReader reader = root.element("services", index);
      final boolean engine = reader.has("engine");
      final long tokens = engine ? reader.child("engine").integer("kv_capacity_tokens", 0) : 0;
      final int connections = reader.saturatedInt("max_connections", Integer.MAX_VALUE);
      final double coldPerSecond = Math.max(0, reader.integer("cold_per_s", 0));
      reader
          .value("name", ServiceName::new)
          .ifPresent(
              name ->
                  services.add(new ServicePlan(name, connections, engine, tokens, coldPerSecond)));
    }
    return services;
  }

  private static Map<String, Tenant> tenants(final JsonReader root) {
    final Map<String, Tenant> tenants = new HashMap<>();
    for (int index = 0; index < root.size(TENANTS); index++) {
      final JsonReader reader = root.element(TENANTS, index);
      final OptionalInt priority =
          reader.has("priority")
              ? OptionalInt.of(reader.saturatedInt("priority", 0))
              : OptionalInt.empty();
      final List<String> keys = reader.texts("api_keys");
      reader
          .value("name", OrganisationId::new)
          .ifPresent(name -> keys.forEach(key -> tenants.put(key, new Tenant(name, priority))));
    }
    return tenants;
  }

  private static CallerLimits limits(final JsonReader reader) {
    final CallerLimits usual = CallerLimits.DEFAULT;
    return new CallerLimits(
        reader.saturatedInt("max_header_bytes", usual.maxHeaderBytes()),
        reader.saturatedInt("max_body_bytes", usual.maxBodyBytes()),
        reader.saturatedInt("header_timeout_ms", (int) usual.headerTimeoutMs()),
        reader.saturatedInt("idle_timeout_ms", (int) usual.idleTimeoutMs()));
  }
}
