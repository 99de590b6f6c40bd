package org.bulrushweir.membership;

/**
 * Holds a report on its way between processes.
 *
 * @param report the report
 * @param ageMs how long ago the sidecar made it, in milliseconds
 */
public record AgedReport(EndpointReport report, long ageMs) {}
