package org.bulrushweir.capacity;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.bulrushweir.admission.AdmissionSettings;
import org.bulrushweir.admission.EndpointGate;
import org.bulrushweir.admission.Offer;
import org.bulrushweir.affinity.ChatLocationMap;
import org.bulrushweir.api.AttemptKey;
import org.bulrushweir.api.EndpointId;
import org.bulrushweir.api.Incarnation;
import org.bulrushweir.api.OrganisationId;
import org.bulrushweir.api.RequestId;
import org.bulrushweir.api.ServiceName;
import org.bulrushweir.api.ZoneName;
import org.bulrushweir.declaration.WorkClass;
import org.bulrushweir.membership.AgedReport;
import org.bulrushweir.membership.EndpointBackoff;
import org.bulrushweir.membership.EndpointInfo;
import org.bulrushweir.membership.EndpointReport;
import org.bulrushweir.membership.EndpointTable;
import org.bulrushweir.membership.GossipMessage;
import org.bulrushweir.membership.GossipSettings;
import org.bulrushweir.membership.PoolStatistics;
import org.bulrushweir.node.ReportMessages;
import org.bulrushweir.routing.ChatCandidates;
import org.bulrushweir.routing.EndpointPoolCache;
import org.bulrushweir.wire.generated.Gossip;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/** Measures how long decisions take. */
@Tag("capacity")
class DecisionCostTest {

  private static final long NOW_MS = 1_000_000;
  private static final ServiceName SERVICE = new ServiceName("assistant");
  private static final int REPETITIONS = 5;
  private static final WorkClass WORK = new WorkClass("work", 0, 600_000, 600_000, 100, true);

  private long sink;

  /** Something that is measured. */
  private interface Action {

    /**
     * Does it once.
     *
     * @param count how often it was done before
     * @return a number that depends on the result
     */
    long run(int count);
  }

  private double microseconds(final int count, final Action action) {
    double best = Double.MAX_VALUE;
    for (int repetition = 0; repetition < REPETITIONS; repetition++) {
      final long startNs = System.nanoTime();
      for (int index = 0; index < count; index++) {
        sink += action.run(index);
      }
      best = Math.min(best, (System.nanoTime() - startNs) / 1e3 / count);
    }
    return best;
  }

  private static EndpointId id(final int index) {
    return new EndpointId("endpoint-" + index);
  }

  @Test
  void routingDecision() {
    for (final int endpoints : new int[] {13, 600, 2_000}) {
      final EndpointTable table = table(endpoints);
      final EndpointPoolCache pools = new EndpointPoolCache(table, new EndpointBackoff());
      final List<EndpointId> ids =
          IntStream.range(0, endpoints).mapToObj(DecisionCostTest::id).toList();
      final double micros =
          microseconds(
              20_000,
              count ->
                  new ChatCandidates(
                          count * 7_919L + 1, null, () -> pools.pool(SERVICE, ids, NOW_MS))
                      .next(Set.of(), null)
                      .orElseThrow()
                      .value()
                      .length());
      System.out.printf("capacity: routing among %d endpoints: %.2f us%n", endpoints, micros);
    }
  }

  @Test
  void admissionDecision() {
    for (final int queued : new int[] {0, 16, 64}) {
      final EndpointGate gate =
          new EndpointGate(
              id(0),
              new Incarnation(NOW_MS),
              new AdmissionSettings(16, 0, Double.POSITIVE_INFINITY, Map.of()),
              new ChatLocationMap(1_000, NOW_MS),
              NOW_MS);
      for (int index = 0; index < 16 + queued; index++) {
        gate.offer(offer(1_000_000 + index), pool());
        gate.startNext(NOW_MS);
      }
      final double micros =
          microseconds(
              20_000,
              count -> {
                final Offer offer = offer(count);
                gate.offer(offer, pool());
                gate.cancelQueued(offer.key());
                return gate.load();
              });
      System.out.printf(
          "capacity: admission with %d running and %d queued: %.2f us%n", 16, queued, micros);
    }
  }

  private static PoolStatistics pool() {
    return new PoolStatistics(13, 13, 1_000, 500, 20_000);
  }

  private static Offer offer(final int number) {
    return new Offer(
        new AttemptKey(new RequestId(number), 1),
        new OrganisationId("org-" + number % 10),
        WORK,
        number + 1,
        500,
        100,
        false,
        NOW_MS,
        NOW_MS + 600_000);
  }

  @Test
  void gossipMessage() {
    for (final int endpoints : new int[] {30, 120, 600, 2_000}) {
      final EndpointTable sender = table(endpoints);
      final EndpointTable receiver = table(endpoints);
      final SplittableRandom random = new SplittableRandom(1);
      final double micros =
          microseconds(
              2_000,
              count -> {
                for (int change = 0; change < 10; change++) {
                  sender.merge(report(random.nextInt(endpoints), 10 * count + change), NOW_MS);
                }
                final GossipMessage message = sender.compose(SERVICE.value(), NOW_MS);
                final Gossip gossip = ReportMessages.gossipToWire(message).build();
                receiver.receive(ReportMessages.gossipFromWire(gossip), NOW_MS);
                return gossip.getSerializedSize();
              });
      System.out.printf(
          "capacity: gossip message at %d endpoints, both ends: %.1f us%n", endpoints, micros);
    }
  }

  @Test
  void statisticsAndReports() {
    for (final int endpoints : new int[] {13, 600, 2_000}) {
      final EndpointTable table = table(endpoints);
      final double micros =
          microseconds(
              2_000,
              count ->
                  (long)
                      table
                          .statistics(SERVICE, EndpointTable.key(id(0)), endpoints, NOW_MS)
                          .meanLoad());
      final double freshest =
          microseconds(
              2_000, count -> table.freshest(SERVICE, EndpointTable.key(id(0)), 16, NOW_MS).size());
      System.out.printf(
          "capacity: at %d endpoints of one service: statistics %.1f us, riding reports %.1f us%n",
          endpoints, micros, freshest);
    }
  }

  private static AgedReport report(final int index, final int version) {
    return new AgedReport(
        new EndpointReport(
            EndpointTable.key(id(index)),
            new Incarnation(NOW_MS),
            version,
            false,
            index * 31L,
            20_000),
        0);
  }

  private static EndpointTable table(final int endpoints) {
    final EndpointTable table = new EndpointTable(GossipSettings.DEFAULT, new SplittableRandom(1));
    for (int index = 0; index < endpoints; index++) {
      table.merge(report(index, 0), NOW_MS);
      table.putInfo(
          new EndpointInfo(id(index), "10.0.0.1", 7_400, new ZoneName("zone-1"), SERVICE));
    }
    return table;
  }
}
