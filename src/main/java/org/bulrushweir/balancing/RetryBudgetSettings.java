package org.bulrushweir.balancing;

/**
 * The settings of the retry budget, which holds for all gateways together.
 *
 * @param ratio the number of retries that each request of a caller adds to the budget
 * @param slack the fixed number of further retries in each window
 * @param windowMs the length of the window in milliseconds
 */
public record RetryBudgetSettings(double ratio, double slack, long windowMs) {}
