package org.bulrushweir.settings;

import java.net.InetSocketAddress;
import java.util.List;
import okhttp3.HttpUrl;
import org.bulrushweir.api.NodeId;
import org.bulrushweir.api.ServiceName;
import org.bulrushweir.api.ZoneName;

/**
 * Holds the settings of a router or sidecar.
 *
 * @param node the id of the process; for a sidecar also the id of its endpoint
 * @param zone the availability zone of the process
 * @param peer the address for peers
 * @param http the HTTP address for metrics and, on a router, for callers
 * @param platform the base URL of the platform
 * @param platformTimeoutMs the timeout of a call to the platform, in milliseconds
 * @param vmPollMs the interval at which the platform's list of VMs is polled, in milliseconds
 * @param configPollMs the interval at which the number of the latest configuration is polled, in
 *     milliseconds
 * @param seeds the addresses of peers to contact while the platform's list can't be read
 * @param logFormat the format of log records
 * @param logLevel the minimum severity of log records that are written
 * @param service the service of a sidecar's endpoint; null for a router
 * @param endpoint the base URL of a sidecar's endpoint; null for a router
 */
public record ProcessSettings(
    NodeId node,
    ZoneName zone,
    SocketAddressSettings peer,
    SocketAddressSettings http,
    HttpUrl platform,
    long platformTimeoutMs,
    long vmPollMs,
    long configPollMs,
    List<InetSocketAddress> seeds,
    LogFormat logFormat,
    LogLevel logLevel,
    ServiceName service,
    HttpUrl endpoint) {}
