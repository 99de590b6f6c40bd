package org.bulrushweir.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.LongStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.bulrushweir.admission.AdmissionDecision;
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
import org.junit.jupiter.api.Test;

/**
 * Verifies that no endpoint accepts more than the declared multiple of the mean load plus one
 * request, although the routers' endpoint lists differ, reports are stale, endpoints join and flap,
 * and one organisation sends a surge. The mean is the greatest one of the last five seconds,
 * because a report counts for that long; it leaves out endpoints that started less than five
 * seconds ago.
 */
class LoadBoundTest {

  private static final String SEED = "8181";
  private static final int TRIES = 150;
  private static final double MULTIPLE = 1.25;
  private static final long START_MS = 1_000_000;
  private static final long DURATION_MS = 60_000;
  private static final long STEP_MS = 50;

  /** Maximum age of a load report that still counts, in milliseconds. */
  private static final long STALE_MS = EndpointTable.MEMBER_TIMEOUT_MS;

  private static final long WARM_UP_MS = 10_000;
  private static final int ENDPOINTS = 8;
  private static final int ROUTERS = 3;
  private static final long SEEDS_WITHOUT_ENFORCEMENT = 20;
  private static final ServiceName SERVICE = new ServiceName("assistant");
  private static final WorkClass WORK = new WorkClass("work", 0, 600_000, 600_000, 100, true);

  /** A simulated pool under random load. */
  private static final class Pool {

    private final List<Member> members = new ArrayList<>();
    private final List<EndpointTable> routers = new ArrayList<>();
    private final List<Set<Integer>> lists = new ArrayList<>();
    private final List<Double> recentMeans = new ArrayList<>();
    private final SplittableRandom random;
    private final boolean enforced;
    private long nowMs = START_MS;
    private long requests;
    private String violation = "";

    private Pool(final long seed, final boolean enforced) {
      this.random = new SplittableRandom(seed);
      this.enforced = enforced;
      for (int index = 0; index < ENDPOINTS; index++) {
        members.add(new Member(index, START_MS - 60_000));
      }
      for (int index = 0; index < ROUTERS; index++) {
        routers.add(new EndpointTable(GossipSettings.DEFAULT, random.split()));
        lists.add(new HashSet<>());
      }
      while (nowMs < START_MS + DURATION_MS) {
        step();
        nowMs += STEP_MS;
      }
    }

    private void step() {
      final boolean surge = nowMs > START_MS + 20_000 && nowMs < START_MS + 35_000;
      recordMean();
      for (int router = 0; router < ROUTERS; router++) {
        if (random.nextInt(20) == 0) {
          refreshList(router);
        }
      }
      final int requestsNow = nowMs < START_MS + WARM_UP_MS ? 0 : surge ? 5 : 1;
      for (int count = requestsNow; count > 0; count--) {
        request(surge && count > 1);
      }
      for (final Member member : members) {
        member.work();
      }
      gossip();
      flap();
    }

    /**
     * Computes the mean load. Endpoints that have just joined are included only if there are no
     * others.
     */
    private double mean() {
      final List<Member> up = members.stream().filter(member -> member.up).toList();
      final List<Member> longUp =
          up.stream()
              .filter(member -> nowMs - member.startMs >= EndpointTable.MEMBER_TIMEOUT_MS)
              .toList();
      return (longUp.isEmpty() ? up : longUp)
          .stream().mapToLong(member -> member.gate.load()).average().orElse(0);
    }

    private void recordMean() {
      recentMeans.add(mean());
      if (recentMeans.size() > STALE_MS / STEP_MS) {
        recentMeans.removeFirst();
      }
    }

    private double greatestRecentMean() {
      return recentMeans.stream().mapToDouble(Double::doubleValue).reduce(mean(), Math::max);
    }

    private void refreshList(final int router) {
      final Set<Integer> list = lists.get(router);
      list.clear();
      for (final Member member : members) {
        if (member.up && random.nextInt(10) > 0) {
          list.add(member.index);
        }
      }
    }

    private void request(final boolean surging) {
      final int router = random.nextInt(ROUTERS);
      final List<Integer> list = new ArrayList<>(lists.get(router));
      final int output = 10 + random.nextInt(surging ? 50 : 200);
      requests++;
      int attempt = 0;
      while (!list.isEmpty() && attempt < 5) {
        attempt++;
        final Member member = members.get(list.remove(random.nextInt(list.size())));
        if (member.up && member.offer(routers.get(router), attempt, output, surging)) {
          return;
        }
      }
    }

    private void gossip() {
      for (final Member member : members) {
        if (member.up && random.nextInt(8) == 0) {
          final Member peer = members.get(random.nextInt(members.size()));
          member.report();
          final GossipMessage message = member.table.compose(SERVICE.value(), nowMs);
          if (peer.up && random.nextInt(20) > 0) {
            peer.table.receive(message, nowMs);
            peer.putAllInfos();
          }
        }
      }
    }

    private void flap() {
      if (random.nextInt(100) > 0) {
        return;
      }
      final Member member = members.get(random.nextInt(members.size()));
      if (member.up) {
        member.up = false;
      } else {
        members.set(member.index, new Member(member.index, nowMs));
      }
    }

    /** A simulated endpoint with its sidecar. */
    private final class Member {

      private final int index;
      private final long startMs;
      private final EndpointId id;
      private final EndpointGate gate;
      private final EndpointTable table;
      private final Map<AttemptKey, Integer> remainingTokens = new HashMap<>();
      private boolean up = true;

      private Member(final int index, final long startMs) {
        this.index = index;
        this.startMs = startMs;
        this.id = new EndpointId("engine-" + index);
        this.table = new EndpointTable(GossipSettings.DEFAULT, random.split());
        this.gate =
            new EndpointGate(
                id,
                new Incarnation(startMs),
                new AdmissionSettings(
                    64, 0, enforced ? MULTIPLE : Double.POSITIVE_INFINITY, Map.of()),
                new ChatLocationMap(100, startMs),
                startMs);
      }

      private EndpointInfo info() {
        return new EndpointInfo(id, "", 0, new ZoneName("zone"), SERVICE);
      }

      private void putAllInfos() {
        members.forEach(member -> table.putInfo(member.info()));
      }

      private AgedReport report() {
        final AgedReport report = new AgedReport(gate.report(nowMs), 0);
        table.merge(report, nowMs);
        table.putInfo(info());
        return report;
      }

      private boolean offer(
          final EndpointTable router, final int attempt, final int output, final boolean surging) {
        router
            .freshest(SERVICE, EndpointTable.key(id), 16, nowMs)
            .forEach(report -> table.merge(report, nowMs));
        putAllInfos();
        report();
        final AttemptKey key = new AttemptKey(new RequestId(requests), attempt);
        final Offer offer =
            new Offer(
                key,
                new OrganisationId(surging ? "surging" : "org-" + random.nextInt(5)),
                WORK,
                0x10000 + requests,
                random.nextInt(500),
                output,
                false,
                nowMs,
                nowMs + WORK.firstTokenMs());
        final boolean admitted =
            gate.offer(offer, table.statistics(SERVICE, EndpointTable.key(id), ENDPOINTS, nowMs))
                instanceof AdmissionDecision.Admitted;
        router.merge(report(), nowMs);
        members.forEach(member -> router.putInfo(member.info()));
        if (admitted) {
          gate.startNext(nowMs);
          remainingTokens.put(key, output);
          final double bound = MULTIPLE * greatestRecentMean();
          if (gate.load() - gate.largestWork() > bound && violation.isEmpty()) {
            violation =
                "at %d ms %s carries %d, of which the largest %d, bound %.0f"
                    .formatted(nowMs - START_MS, id, gate.load(), gate.largestWork(), bound);
          }
        }
        return admitted;
      }

      private void work() {
        for (final AttemptKey key : List.copyOf(remainingTokens.keySet())) {
          gate.recordToken(key, remainingTokens.get(key) % 2 == 0 ? 25 : 0, nowMs);
          if (remainingTokens.merge(key, -2, Integer::sum) <= 0) {
            remainingTokens.remove(key);
            gate.finish(key, 0, nowMs);
          }
        }
      }
    }
  }

  @Property(tries = TRIES, seed = SEED)
  void noEndpointAcceptsMoreThanTheMultipleAndOneRequest(
      @ForAll @LongRange(min = 0) final long seed) {
    assertEquals("", new Pool(seed, true).violation);
  }

  @Test
  void withoutEnforcementEndpointsAcceptMore() {
    assertTrue(
        LongStream.range(0, SEEDS_WITHOUT_ENFORCEMENT)
            .noneMatch(seed -> new Pool(seed, false).violation.isEmpty()));
  }
}
