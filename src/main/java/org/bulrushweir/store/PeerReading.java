package org.bulrushweir.store;

/**
 * What a gateway tells its peers about its reading of a table.
 *
 * @param era the store's era
 * @param version the version of the newest change that the gateway has read, or a later one at
 *     which it has read the whole table
 * @param ageMs how long ago the store itself told the gateway that there is no newer change, in
 *     milliseconds
 */
public record PeerReading(long era, long version, long ageMs) {}
