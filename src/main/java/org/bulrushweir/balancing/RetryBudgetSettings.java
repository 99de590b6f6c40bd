package org.bulrushweir.balancing;

/**
 * Bounds the repeats of all routers together.
 *
 * @param ratio repeats for each request of a caller
 * @param slack further repeats in each window
 * @param windowMs the length of a window, in milliseconds
 */
public record RetryBudgetSettings(double ratio, double slack, long windowMs) {}
