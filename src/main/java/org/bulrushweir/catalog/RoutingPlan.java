package org.bulrushweir.catalog;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.bulrushweir.api.OrganisationId;
import org.bulrushweir.api.ServiceName;

/** One version of the routing plan: the configuration that the operators have put in force. */
public final class RoutingPlan {

  private static final Comparator<Route> LONGEST_PREFIX_FIRST =
      Comparator.comparingInt((Route route) -> route.prefix().length()).reversed();

  private final Map<String, List<Route>> routesByHost = new HashMap<>();
  private final Map<ServiceName, ServicePlan> services;
  private final boolean requiresApiKeys;
  private final Map<String, Tenant> tenantsByKey;
  private final long version;
  private final CallerLimits limits;
  private final int routeCount;

  /**
   * Creates a plan.
   *
   * @param version the version; greater versions are newer
   * @param routes the routes
   * @param services the services
   * @param requiresApiKeys whether callers need an API key on routes that are not open
   * @param tenantsByKey the organisations by API key
   * @param limits the limits for callers
   */
  public RoutingPlan(
      final long version,
      final List<Route> routes,
      final List<ServicePlan> services,
      final boolean requiresApiKeys,
      final Map<String, Tenant> tenantsByKey,
      final CallerLimits limits) {
    this.version = version;
    this.services = new HashMap<>();
    services.forEach(service -> this.services.put(service.name(), service));
    this.requiresApiKeys = requiresApiKeys;
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
   * @return the version; greater versions are newer
   */
  public long version() {
    return version;
  }

  /**
   * Returns the limits for callers.
   *
   * @return the limits
   */
  public CallerLimits limits() {
    return limits;
  }

  /**
   * Returns the number of routes.
   *
   * @return the number of routes
   */
  public int routeCount() {
    return routeCount;
  }

  /**
   * Returns whether callers need an API key on routes that are not open.
   *
   * @return true if the configuration lists organisations, also if none of them has a key
   */
  public boolean requiresApiKeys() {
    return requiresApiKeys;
  }

  /**
   * Finds the route of a request: the one with the longest prefix that matches the path.
   *
   * @param host the requested host, in lower case and without port
   * @param path the path without the query
   * @return the route, empty if none matches
   */
  public Optional<Route> route(final String host, final String path) {
    return routesByHost.getOrDefault(host, List.of()).stream()
        .filter(route -> path.startsWith(route.prefix()))
        .findFirst();
  }

  /**
   * Finds the organisation to which an API key belongs.
   *
   * @param key the key
   * @return the organisation, empty if the key is unknown
   */
  public Optional<Tenant> tenant(final String key) {
    return Optional.ofNullable(tenantsByKey.get(key));
  }

  /**
   * Finds an organisation by its name.
   *
   * @param organisation the organisation
   * @return the organisation with the most urgent priority of its keys, empty if it has no key
   */
  public Optional<Tenant> tenantNamed(final OrganisationId organisation) {
    return tenantsByKey.values().stream()
        .filter(tenant -> tenant.organisation().equals(organisation))
        .min(Comparator.comparingInt(tenant -> tenant.priority().orElse(Integer.MAX_VALUE)));
  }

  /**
   * Finds the plan of a service.
   *
   * @param name the name of the service
   * @return the plan of the service, empty if the routing plan does not describe it
   */
  public Optional<ServicePlan> service(final ServiceName name) {
    return Optional.ofNullable(services.get(name));
  }
}
