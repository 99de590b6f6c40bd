package org.bulrushweir.declaration;

/**
 * Describes how fast the weight store may be read.
 *
 * @param permitsPerMinute how many models may be loaded in a minute, over the whole fleet
 * @param burst how many may be loaded at once
 */
public record WeightStoreDeclaration(double permitsPerMinute, double burst) {}
