package org.bulrushweir.catalog;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.bulrushweir.api.ServiceName;

/** Holds one version of what operators have put in force. */
public final class RoutingPlan {

  private static final Comparator<Route> LONGEST_PREFIX_FIRST =
      Comparator.comparingInt((Route route) -> route.prefix().length()).reversed();

  private final Map<String, List<Route>> routesByHost = new HashMap<>();
  private final Map<ServiceName, ServicePlan> services;
  private final Map<String, Tenant> tenantsByKey;
  private final long version;
  private final CallerLimits limits;
  private final int routeCount;

  /**
   * Creates a plan.
   *
   * @param version its version; greater ones are newer
   * @param routes the routes
   * @param services the services
   * @param tenantsByKey the holders of keys
   * @param limits bounds for callers
   */
  public RoutingPlan(
      final long version,
      final List<Route> routes,
      final List<ServicePlan> services,
      final Map<String, Tenant> tenantsByKey,
      final CallerLimits limits) {
    this.version = version;
    this.services = new HashMap<>();
    services.forEach(service -> this.services.put(service.name(), service));
    this.tenantsByKey = Map.copyOf(tenantsByKey);
    this.limits = limits;
    this.routeCount = routes.size();
    for (final Route route : routes) {
      routesByHost.computeIfAbsent(route.host(), host -> new ArrayList<>()).add(route);
    }
    routesByHost.values().forEach(list -> list.sort(LONGEST_PREFIX_FIRST));
  }

  /**
   * Returns the version.
   *
   * @return the version; greater ones are newer
   */
  public long version() {
    return version;
  }

  /**
   * Returns the bounds for callers.
   *
   * @return the limits
   */
  public CallerLimits limits() {
    return limits;
  }

  /**
   * Returns how many routes there are.
   *
   * @return the number of routes
   */
  public int routeCount() {
    return routeCount;
  }

  /**
   * Tells whether callers need keys on routes that are not open.
   *
   * @return true if any organisation holds a key
   */
  public boolean requiresApiKeys() {
    return !tenantsByKey.isEmpty();
  }

  /**
   * Finds the route with the longest prefix that starts a path.
   *
   * @param host the host that the request names, in lower case, without port
   * @param path the path without the query
   * @return the route, empty if there is none
   */
  public Optional<Route> route(final String host, final String path) {
    return routesByHost.getOrDefault(host, List.of()).stream()
        .filter(route -> path.startsWith(route.prefix()))
        .findFirst();
  }

  /**
   * Finds the holder of a key.
   *
   * @param key the key
   * @return the holder, empty if nobody holds it
   */
  public Optional<Tenant> tenant(final String key) {
    return Optional.ofNullable(tenantsByKey.get(key));
  }

  /**
   * Finds a service.
   *
   * @param name its name
   * @return the service, empty if it is not described
   */
  public Optional<ServicePlan> service(final ServiceName name) {
    return Optional.ofNullable(services.get(name));
  }
}
