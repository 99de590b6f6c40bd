package org.bulrushweir.catalog;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.bulrushweir.api.ServiceName;
import org.junit.jupiter.api.Test;

/** Tests the matching of routes and the split of requests by weight. */
class RoutingPlanTest {

  private static Route route(final String prefix, final WeightedService... services) {
    return new Route(
        prefix,
        "a.example",
        prefix,
        RequestKind.SAFE,
        1_000,
        100,
        0,
        List.of(services),
        1,
        true,
        false,
        false);
  }

  private static WeightedService service(final String name, final int weight) {
    return new WeightedService(new ServiceName(name), weight);
  }

  @Test
  void longestPrefixWins() {
    final RoutingPlan plan =
        new RoutingPlan(
            1,
            List.of(route("/a/", service("one", 1)), route("/a/b/", service("two", 1))),
            List.of(),
            false,
            Map.of(),
            CallerLimits.DEFAULT);
    assertEquals("/a/b/", plan.route("a.example", "/a/b/c").orElseThrow().prefix());
    assertEquals("/a/", plan.route("a.example", "/a/bc").orElseThrow().prefix());
    assertTrue(plan.route("a.example", "/b/").isEmpty());
    assertTrue(plan.route("b.example", "/a/").isEmpty());
  }

  @Test
  void requestsAreSplitByWeight() {
    final Route route = route("/a/", service("one", 90), service("two", 10));
    int toSecond = 0;
    for (int draw = 0; draw < 1_000; draw++) {
      if (route.serviceFor(draw).equals(new ServiceName("two"))) {
        toSecond++;
      }
    }
    assertEquals(100, toSecond);
    assertEquals(route.serviceFor(92), route.serviceFor(Long.MIN_VALUE), "-2^63 is 92 modulo 100");
  }
}
