package org.bulrushweir.store;

/**
 * Sets a row, or deletes it.
 *
 * @param key the row's key
 * @param value the new value, null to delete the row
 */
public record Write(String key, String value) {}
