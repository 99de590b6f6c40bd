package org.bulrushweir.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.bulrushweir.platform.RoutingPlanDecoder;
import org.bulrushweir.standin.PlatformStandIn;
import org.bulrushweir.store.SharedTable;

/**
 * The configurations that the operator has written. Each has a route and a key of its own, and
 * sends one route to either of two services.
 */
final class Configurations {

  /** A key that all configurations hold. */
  static final String STEADY_KEY = "key-of-all";

  /** The host of all routes. */
  static final String HOST = "soak.example";

  /** The time-out of all routes, in milliseconds. */
  static final long TIMEOUT_MS = 2_000;

  private static final String TEXT =
      """
      {"version": %d, "routes": [%s],
       "services": [%s],
       "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                  "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
       "tenants": [{"name": "tenant-of-all", "api_keys": ["%s"]},
                   {"name": "tenant-of-%d", "api_keys": ["%s"]}]}
      """;

  private static final String ROUTE =
      """
      {"name": "%s", "host": "%s", "prefix": "/%s/", "kind": "%s", "timeout_ms": %d,
       "target_latency_ms": 200, "priority": 1, "service": "%s", "max_attempts": %d,
       "public": false, "sticky": false, "resumable": %b}
      """;

  private static final String SERVICE =
      """
      {"name": "%s", "health_path": "/health", "max_connections": 200, "protocol": "h1",
       "tls": false}
      """;

  private static final long NOT_CONFIRMED = Long.MAX_VALUE;

  private final List<Version> versions = new ArrayList<>();
  private final PlatformStandIn platform;

  /**
   * A version.
   *
   * @param number its number
   * @param movedTo the service of the route that moves
   * @param confirmedAtMs when the store had taken it
   */
  record Version(int number, String movedTo, long confirmedAtMs) {

    String route() {
      return "only-" + number;
    }

    String key() {
      return "key-of-" + number;
    }

    boolean allowsKey(final String key) {
      return STEADY_KEY.equals(key) || key().equals(key);
    }

    boolean allowsRoute(final String route) {
      return !route.startsWith("only-") || route().equals(route);
    }

    boolean allows(final CallerRequest request) {
      return allowsRoute(request.route()) && allowsKey(request.key());
    }

    /** Tells whether a request may run at a service. */
    boolean allows(final CallerRequest request, final String service) {
      final String expected =
          request.traffic() == Traffic.MOVED ? movedTo : request.traffic().service();
      return allows(request) && expected.equals(service);
    }

    String tenant(final String key) {
      return STEADY_KEY.equals(key) ? "tenant-of-all" : "tenant-of-" + number;
    }
  }

  Configurations(final PlatformStandIn platform) {
    this.platform = platform;
  }

  /**
   * Writes the next version to the store.
   *
   * @param movedTo the service of the route that moves
   * @param clock tells when it is confirmed
   */
  synchronized void write(final String movedTo, final SoakClock clock) {
    final int number = versions.isEmpty() ? 1 : number() + 1 + number() % 3;
    final Version version = new Version(number, movedTo, NOT_CONFIRMED);
    versions.add(version);
    platform.put(SharedTable.CONFIGURATION, RoutingPlanDecoder.ROW_KEY, text(version));
    versions.set(versions.size() - 1, new Version(number, movedTo, clock.nowMs()));
  }

  private int number() {
    return versions.getLast().number();
  }

  /** Returns all versions, the oldest first. */
  synchronized List<Version> versions() {
    return List.copyOf(versions);
  }

  /** Returns the newest version. */
  synchronized Version newest() {
    return versions.getLast();
  }

  /**
   * Finds the version that must be in force.
   *
   * @param confirmedBeforeMs when it was confirmed at the latest
   * @return its index, zero if there is none
   */
  synchronized int newestConfirmed(final long confirmedBeforeMs) {
    return IntStream.range(0, versions.size())
        .filter(index -> versions.get(index).confirmedAtMs() <= confirmedBeforeMs)
        .max()
        .orElse(0);
  }

  private static String text(final Version version) {
    final List<String> routes = new ArrayList<>();
    for (final Traffic traffic : Traffic.values()) {
      final String name = traffic == Traffic.PROBE ? version.route() : traffic.route();
      final String service = traffic == Traffic.MOVED ? version.movedTo() : traffic.service();
      routes.add(route(name, traffic, service));
    }
    return TEXT.formatted(
        version.number(),
        String.join(",", routes),
        List.of("orders", "stock", "assistant").stream()
            .map(Configurations::service)
            .collect(Collectors.joining(",")),
        STEADY_KEY,
        version.number(),
        version.key());
  }

  private static String route(final String name, final Traffic traffic, final String service) {
    return ROUTE.formatted(
        name,
        HOST,
        name,
        traffic.kind(),
        TIMEOUT_MS,
        service,
        traffic.isIdempotent() ? 3 : 2,
        traffic == Traffic.DRAFT);
  }

  private static String service(final String name) {
    return SERVICE.formatted(name);
  }
}
