package org.bulrushweir.settings;

import okhttp3.HttpUrl;
import org.bulrushweir.api.NodeId;
import org.bulrushweir.api.ZoneName;
import org.bulrushweir.balancing.RetryBudgetSettings;
import org.bulrushweir.balancing.SelectorSettings;

/**
 * Holds the settings of a gateway, a router that reaches endpoints directly.
 *
 * @param node the process's id
 * @param zone its availability zone
 * @param callers where callers connect
 * @param readiness where the balancer asks whether this process takes new work
 * @param metrics where scrapers of metrics connect
 * @param peers where other gateways send their reports
 * @param platform the platform's base URL
 * @param firstStart whether the whole system starts for the first time, so that no engine holds
 *     anything
 * @param graceMs how long after a SIGTERM the process is killed, in milliseconds
 * @param retryBudget bounds the repeats of all gateways together
 * @param selector the settings of the choice of endpoints
 * @param logFormat how log records are written
 * @param logLevel the least severity that is written
 */
public record GatewaySettings(
    NodeId node,
    ZoneName zone,
    SocketAddressSettings callers,
    SocketAddressSettings readiness,
    SocketAddressSettings metrics,
    SocketAddressSettings peers,
    HttpUrl platform,
    boolean firstStart,
    long graceMs,
    RetryBudgetSettings retryBudget,
    SelectorSettings selector,
    LogFormat logFormat,
    LogLevel logLevel) {}
