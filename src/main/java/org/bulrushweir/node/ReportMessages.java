package org.bulrushweir.node;

import java.util.ArrayList;
import java.util.List;
import org.bulrushweir.api.EndpointId;
import org.bulrushweir.api.Identifiers;
import org.bulrushweir.api.Incarnation;
import org.bulrushweir.api.ServiceName;
import org.bulrushweir.api.ZoneName;
import org.bulrushweir.membership.AgedReport;
import org.bulrushweir.membership.EndpointInfo;
import org.bulrushweir.membership.EndpointReport;
import org.bulrushweir.membership.GossipMessage;
import org.bulrushweir.wire.generated.Description;
import org.bulrushweir.wire.generated.Gossip;
import org.bulrushweir.wire.generated.Report;

/** Translates reports of endpoints to their form on the wire and back. */
public final class ReportMessages {

  /** The unit in which gossip carries ages, in milliseconds. */
  private static final long AGE_UNIT_MS = 100;

  private ReportMessages() {}

  /**
   * Translates a report to the wire.
   *
   * @param aged the report
   * @return its form on the wire
   */
  public static Report toWire(final AgedReport aged) {
    final EndpointReport report = aged.report();
    return Report.newBuilder()
        .setKey(report.key())
        .setIncarnation(report.incarnation().value())
        .setVersion(report.version())
        .setLoad((int) report.load())
        .setPaceMicros(report.paceMicros())
        .setAgeMs((int) aged.ageMs())
        .setLeaving(report.leaving())
        .build();
  }

  /**
   * Translates a report from the wire.
   *
   * @param message its form on the wire
   * @return the report
   */
  public static AgedReport fromWire(final Report message) {
    return new AgedReport(
        new EndpointReport(
            message.getKey(),
            new Incarnation(message.getIncarnation()),
            message.getVersion(),
            message.getLeaving(),
            message.getLoad(),
            message.getPaceMicros()),
        message.getAgeMs());
  }

  /**
   * Translates gossip to the wire.
   *
   * @param message the gossip
   * @return its form on the wire, without sender
   */
  public static Gossip.Builder gossipToWire(final GossipMessage message) {
    final Gossip.Builder gossip = Gossip.newBuilder();
    for (final AgedReport aged : message.reports()) {
      final EndpointReport report = aged.report();
      gossip
          .addKey(report.key())
          .addIncarnation(report.incarnation().value())
          .addVersion(report.version())
          .addLoad((int) report.load())
          .addPaceMicros(report.paceMicros())
          .addAge((int) (aged.ageMs() / AGE_UNIT_MS))
          .addLeaving(report.leaving());
    }
    for (final EndpointInfo info : message.infos()) {
      gossip.addDescriptions(
          Description.newBuilder()
              .setEndpoint(info.id().value())
              .setHost(info.host())
              .setPort(info.port())
              .setZone(info.zone().value())
              .setService(info.service().value()));
    }
    return gossip.addAllUnknown(message.unknown());
  }

  /**
   * Translates gossip from the wire.
   *
   * @param gossip its form on the wire
   * @return the gossip; malformed descriptions are left out
   * @throws IllegalArgumentException if the parallel arrays differ in length
   */
  public static GossipMessage gossipFromWire(final Gossip gossip) {
    requireParallel(gossip);
    final List<AgedReport> reports = new ArrayList<>();
    for (int index = 0; index < gossip.getKeyCount(); index++) {
      reports.add(
          new AgedReport(
              new EndpointReport(
                  gossip.getKey(index),
                  new Incarnation(gossip.getIncarnation(index)),
                  gossip.getVersion(index),
                  gossip.getLeaving(index),
                  gossip.getLoad(index),
                  gossip.getPaceMicros(index)),
              gossip.getAge(index) * AGE_UNIT_MS));
    }
    final List<EndpointInfo> infos = new ArrayList<>();
    for (final Description description : gossip.getDescriptionsList()) {
      if (isValid(description)) {
        infos.add(
            new EndpointInfo(
                new EndpointId(description.getEndpoint()),
                description.getHost(),
                description.getPort(),
                new ZoneName(description.getZone()),
                new ServiceName(description.getService())));
      }
    }
    return new GossipMessage(reports, infos, gossip.getUnknownList());
  }

  private static void requireParallel(final Gossip gossip) {
    final int count = gossip.getKeyCount();
    final boolean parallel =
        gossip.getIncarnationCount() == count
            && gossip.getVersionCount() == count
            && gossip.getLoadCount() == count
            && gossip.getPaceMicrosCount() == count
            && gossip.getAgeCount() == count
            && gossip.getLeavingCount() == count;
    if (!parallel) {
      throw new IllegalArgumentException("the arrays of a gossip message differ in length");
    }
  }

  private static boolean isValid(final Description description) {
    return Identifiers.isValid(description.getEndpoint())
        && Identifiers.isValid(description.getZone())
        && Identifiers.isValid(description.getService());
  }
}
