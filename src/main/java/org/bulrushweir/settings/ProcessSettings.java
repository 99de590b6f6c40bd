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
 * @param node the process's id, for a sidecar also its endpoint's
 * @param zone the availability zone
 * @param peer where peers connect
 * @param http where callers (of a router) and scrapers of metrics connect
 * @param platform the platform's base URL
 * @param platformTimeoutMs how long a call to the platform may take, in milliseconds
 * @param vmPollMs how often the platform's list of VMs is read, in milliseconds
 * @param configPollMs how often the head of the configuration is read, in milliseconds
 * @param seeds peers to talk to while the platform can't be asked for its list
 * @param logFormat how log records are written
 * @param logLevel the least severity that is written
 * @param service the service that a sidecar's endpoint belongs to, null for a router
 * @param endpoint the base URL of a sidecar's endpoint, null for a router
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
