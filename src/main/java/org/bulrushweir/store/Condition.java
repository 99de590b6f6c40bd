package org.bulrushweir.store;

/**
 * Demands that a row has a certain version when a transaction commits.
 *
 * @param key the row's key
 * @param version the version it must have, zero if it must be absent
 */
public record Condition(String key, long version) {}
