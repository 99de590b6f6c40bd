package org.bulrushweir.gateway;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.bulrushweir.api.EndpointId;
import org.bulrushweir.api.NodeId;
import org.bulrushweir.balancing.PeerLoad;
import org.bulrushweir.balancing.PeerReport;
import org.bulrushweir.balancing.PromptSegment;
import org.bulrushweir.quarantine.EndpointCrash;
import org.bulrushweir.quarantine.EndpointRun;
import org.bulrushweir.quarantine.QuarantineReport;
import org.bulrushweir.quarantine.SegmentAge;
import org.bulrushweir.wire.generated.EndpointLoad;
import org.bulrushweir.wire.generated.PromptPlacement;
import org.bulrushweir.wire.generated.ReportedCrash;
import org.bulrushweir.wire.generated.ReportedSegment;
import org.bulrushweir.wire.generated.RouterReport;

/** Converts peer reports to and from their Protocol Buffers messages. */
final class PeerReportCodec {

  /** The most requests of a gateway at an endpoint that a report is believed to state. */
  private static final long MAX_IN_FLIGHT = 100_000;

  /** The highest number of held tokens that is plausible; sums of it do not overflow. */
  private static final long MAX_HELD_TOKENS = 1_000_000_000_000L;

  private PeerReportCodec() {}

  /**
   * Encodes a report.
   *
   * @param report the report
   * @param quarantine what peers are told about segments that crash engines
   * @param host the host on which the sender receives reports
   * @param port the port on which the sender receives reports
   * @param leaving whether the sender is about to stop
   * @return the message
   */
  static RouterReport.Builder encode(
      final PeerReport report,
      final QuarantineReport quarantine,
      final String host,
      final int port,
      final boolean leaving) {
    final RouterReport.Builder message =
        RouterReport.newBuilder()
            .setNode(report.node().value())
            .setIncarnation(report.incarnation())
            .setSequence(report.sequence())
            .setPlanVersion(report.planVersion())
            .setHost(host)
            .setPort(port)
            .setLeaving(leaving);
    report
        .loads()
        .forEach(
            (endpoint, load) ->
                message.addLoads(
                    EndpointLoad.newBuilder()
                        .setEndpoint(endpoint.value())
                        .setInFlight(load.inFlight())
                        .setPendingTokens(Math.max(0, load.pendingTokens()))
                        .setHeldTokens(Math.max(0, load.heldTokens()))));
    for (final PeerReport.Placement placement : report.placements()) {
      final PromptPlacement.Builder entry =
          PromptPlacement.newBuilder()
              .setEndpoint(placement.endpoint().value())
              .setReadInMs((int) placement.prefilledInMs());
      for (final PromptSegment segment : placement.sharedSegments()) {
        entry.addPartIds(segment.id()).addPartTokens(segment.tokens());
      }
      message.addPlacements(entry);
    }
    for (final EndpointCrash crash : quarantine.crashes()) {
      message.addCrashes(
          ReportedCrash.newBuilder()
              .setEndpoint(crash.run().endpoint().value())
              .setStartedAtMs(crash.run().startedAtMs())
              .setAgeMs((int) crash.ageMs())
              .addAllSuspectIds(crash.suspects()));
    }
    quarantine.answered().forEach(segment -> message.addAnswered(encode(segment)));
    quarantine.quarantined().forEach(segment -> message.addQuarantined(encode(segment)));
    return message;
  }

  private static ReportedSegment encode(final SegmentAge segment) {
    return ReportedSegment.newBuilder()
        .setId(segment.segment())
        .setAgeMs((int) segment.ageMs())
        .build();
  }

  /**
   * Decodes what a report tells about segments that crash engines.
   *
   * @param message the message
   * @return the report, empty lists if the message tells nothing
   */
  static QuarantineReport decodeQuarantine(final RouterReport message) {
    final List<EndpointCrash> crashes = new ArrayList<>();
    for (final ReportedCrash crash : message.getCrashesList()) {
      crashes.add(
          new EndpointCrash(
              new EndpointRun(new EndpointId(crash.getEndpoint()), crash.getStartedAtMs()),
              crash.getAgeMs(),
              Set.copyOf(crash.getSuspectIdsList())));
    }
    return new QuarantineReport(
        crashes, decode(message.getAnsweredList()), decode(message.getQuarantinedList()));
  }

  private static List<SegmentAge> decode(final List<ReportedSegment> segments) {
    return segments.stream()
        .map(segment -> new SegmentAge(segment.getId(), segment.getAgeMs()))
        .toList();
  }

  /**
   * Decodes a report.
   *
   * @param message the message
   * @return the report
   */
  static PeerReport decode(final RouterReport message) {
    final Map<EndpointId, PeerLoad> loads = new HashMap<>();
    for (final EndpointLoad load : message.getLoadsList()) {
      loads.put(
          new EndpointId(load.getEndpoint()),
          new PeerLoad(
              (int) Math.clamp(Integer.toUnsignedLong(load.getInFlight()), 0, MAX_IN_FLIGHT),
              Math.clamp(load.getPendingTokens(), 0, MAX_HELD_TOKENS),
              Math.clamp(load.getHeldTokens(), 0, MAX_HELD_TOKENS)));
    }
    final List<PeerReport.Placement> placements = new ArrayList<>();
    for (final PromptPlacement placement : message.getPlacementsList()) {
      final List<PromptSegment> segments = new ArrayList<>();
      for (int index = 0; index < placement.getPartIdsCount(); index++) {
        segments.add(
            new PromptSegment(placement.getPartIds(index), placement.getPartTokens(index)));
      }
      placements.add(
          new PeerReport.Placement(
              new EndpointId(placement.getEndpoint()), segments, placement.getReadInMs()));
    }
    return new PeerReport(
        new NodeId(message.getNode()),
        message.getIncarnation(),
        message.getSequence(),
        message.getPlanVersion(),
        loads,
        placements);
  }
}
