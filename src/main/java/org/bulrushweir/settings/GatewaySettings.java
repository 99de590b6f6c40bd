package org.bulrushweir.settings;

import java.util.Optional;
import java.util.OptionalLong;
import okhttp3.HttpUrl;
import org.bulrushweir.api.NodeId;
import org.bulrushweir.api.ZoneName;
import org.bulrushweir.balancing.RetryBudgetSettings;
import org.bulrushweir.balancing.SelectorSettings;
import org.bulrushweir.coldstart.ColdSettings;
import org.bulrushweir.dispatch.DispatchSettings;

/**
 * Holds the settings of a gateway, a router that sends requests to endpoints without a sidecar.
 *
 * @param node the id of the process
 * @param zone the availability zone of the process
 * @param callers the address for callers
 * @param readiness the address of the readiness check, which the load balancer polls
 * @param metrics the address at which metrics are scraped
 * @param peers the address to which other gateways send their reports
 * @param platform the base URL of the platform
 * @param sharedReading whether gateways tell each other how far they have read the store's tables,
 *     so that each polls less often
 * @param firstStart whether the whole system starts for the first time, so that no engine has
 *     anything cached
 * @param graceMs the time from SIGTERM to SIGKILL, in milliseconds
 * @param retryBudget the limit on the retries of all gateways together
 * @param selector the settings of endpoint selection
 * @param evacuationMs the time after which an evacuation of a zone must be in force, in
 *     milliseconds, empty if operators evacuate no zones
 * @param cold the settings of the limit on what cold endpoints get, empty for no limit
 * @param dispatch the settings of queueing
 * @param logFormat the format of log records
 * @param logLevel the minimum severity of log records that are written
 */
public record GatewaySettings(
    NodeId node,
    ZoneName zone,
    SocketAddressSettings callers,
    SocketAddressSettings readiness,
    SocketAddressSettings metrics,
    SocketAddressSettings peers,
    HttpUrl platform,
    boolean sharedReading,
    boolean firstStart,
    long graceMs,
    RetryBudgetSettings retryBudget,
    SelectorSettings selector,
    OptionalLong evacuationMs,
    Optional<ColdSettings> cold,
    DispatchSettings dispatch,
    LogFormat logFormat,
    LogLevel logLevel) {}
