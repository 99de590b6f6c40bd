package org.bulrushweir.declaration;

/**
 * Describes the rate limit of reads from the weight store.
 *
 * @param permitsPerMinute the maximum rate of model loads in the whole fleet, per minute
 * @param burst the maximum number of model loads that may start at once
 */
public record WeightStoreDeclaration(double permitsPerMinute, double burst) {}
