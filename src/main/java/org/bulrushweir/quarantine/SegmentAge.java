package org.bulrushweir.quarantine;

/**
 * A prompt segment and the time since something happened with it.
 *
 * @param segment the id of the segment
 * @param ageMs the time since the event, in milliseconds
 */
public record SegmentAge(long segment, long ageMs) {}
