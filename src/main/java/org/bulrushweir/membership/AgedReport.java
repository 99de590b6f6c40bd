package org.bulrushweir.membership;

/**
 * Holds an endpoint report together with its age, as processes exchange it.
 *
 * @param report the report
 * @param ageMs the time since the sidecar created the report, in milliseconds
 */
public record AgedReport(EndpointReport report, long ageMs) {}
