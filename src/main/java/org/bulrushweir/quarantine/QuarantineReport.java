package org.bulrushweir.quarantine;

import java.util.List;

/**
 * What a gateway tells its peers about prompt segments under which engines crash. All lists are
 * short and bounded.
 *
 * @param crashes the crashes that the gateway itself saw recently
 * @param answered suspect segments with which a request was answered, by the time since the answer
 * @param quarantined the segments in quarantine, by the time since a request came with them
 */
public record QuarantineReport(
    List<EndpointCrash> crashes, List<SegmentAge> answered, List<SegmentAge> quarantined) {}
