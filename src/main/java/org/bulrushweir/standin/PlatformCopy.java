package org.bulrushweir.standin;

import java.util.List;
import java.util.Map;

/**
 * Holds everything that the platform stand-in kept at a moment.
 *
 * @param tables the rows by table and key
 * @param objects the objects by key
 * @param history the changes that could be followed
 * @param version the newest version
 */
public record PlatformCopy(
    Map<String, Map<String, StoredRow>> tables,
    Map<String, String> objects,
    List<StoredRow> history,
    long version) {}
