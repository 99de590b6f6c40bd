package org.bulrushweir.replay;

import java.util.List;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.bulrushweir.api.EndpointId;
import org.bulrushweir.routing.EndpointPool;
import org.bulrushweir.routing.EndpointView;

/**
 * Tells a policy what a router knows when a request comes.
 *
 * @param chat the chat's hash
 * @param hint where the chat's last answer came from, as the caller says, null if it does not
 * @param pool the endpoints as the router knows them from reports of sidecars
 * @param laggingViews what it knows from the engines' own lagging load reports
 * @param loadMultiple the declared multiple of the mean load
 * @param random for random choices
 */
public record RouteContext(
    long chat,
    EndpointId hint,
    Supplier<EndpointPool> pool,
    Supplier<List<EndpointView>> laggingViews,
    double loadMultiple,
    RandomGenerator random) {}
