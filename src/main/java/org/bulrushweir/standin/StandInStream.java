package org.bulrushweir.standin;

/**
 * Says how the streams of a stand-in look.
 *
 * @param events how many events they have
 * @param firstMs after which time the first one comes, in milliseconds
 * @param gapMs the pause between events, in milliseconds
 */
public record StandInStream(int events, long firstMs, long gapMs) {}
