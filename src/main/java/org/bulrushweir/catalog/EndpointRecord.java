package org.bulrushweir.catalog;

import org.bulrushweir.api.EndpointId;
import org.bulrushweir.api.ServiceName;
import org.bulrushweir.api.ZoneName;

/**
 * Describes an endpoint as it registered itself.
 *
 * @param id its id
 * @param service the service it belongs to
 * @param host its IP number
 * @param port its port
 * @param zone its availability zone
 * @param slots how many requests it processes at once
 * @param draining whether it is about to leave and takes no new work
 * @param startedAtMs when it started, in Unix milliseconds, zero if unknown; another value under
 *     the same id means that it holds nothing of before
 */
public record EndpointRecord(
    EndpointId id,
    ServiceName service,
    String host,
    int port,
    ZoneName zone,
    int slots,
    boolean draining,
    long startedAtMs) {}
