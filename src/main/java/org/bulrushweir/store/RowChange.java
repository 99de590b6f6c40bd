package org.bulrushweir.store;

import java.util.Optional;

/**
 * Describes a row as it is now.
 *
 * @param key the row's key
 * @param value the row's value, empty if the row was removed
 * @param version the version of the change
 */
public record RowChange(String key, Optional<String> value, long version) {}
