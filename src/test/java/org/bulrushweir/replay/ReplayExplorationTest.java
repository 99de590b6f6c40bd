package org.bulrushweir.replay;

import java.util.ArrayList;
import java.util.List;
import org.HdrHistogram.Histogram;
import org.bulrushweir.trace.TraceProfile;
import org.bulrushweir.trace.TraceRecord;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/** Prints all policies side by side. */
@Tag("slow")
class ReplayExplorationTest {

  @Test
  void comparePolicies() {
    for (final ReplayScenarios scenario : ReplayScenarios.values()) {
      print(scenario + " usual demand", scenario, scenario.trace());
      final TraceProfile crest =
          scenario.profile().withCrest(new TraceProfile.Crest(60_000, 30_000, 5));
      print(scenario + " crest", scenario, scenario.trace(crest));
    }
  }

  private static void print(
      final String title, final ReplayScenarios scenario, final List<TraceRecord> trace) {
    System.out.println("== " + title + ": " + trace.size() + " records");
    final List<ReplayPolicy> policies = new ArrayList<>(Baselines.all());
    policies.add(new FleetPolicy());
    for (final ReplayPolicy policy : policies) {
      final long startNs = System.nanoTime();
      final ReplayResult result = Replay.run(trace, scenario.options(), policy);
      final Histogram first = ReplayResult.merged(result.firstToken());
      final Histogram all = ReplayResult.merged(result.duration());
      final Histogram quick = result.firstToken().get("quick");
      final double[] skews =
          result.samples().stream().mapToDouble(LoadSample::skew).sorted().toArray();
      final double[] less =
          result.samples().stream().mapToDouble(LoadSample::skewLessOneAttempt).sorted().toArray();
      System.out.printf(
          "%-42s ran %5d late %5d notrun %5d unk %3d | reuse %.3f | ttft p50 %5d p99 %6d quick99"
              + " %5d | dur p99 %6d | itl p95 %3d | skew p50 %.2f p99 %.2f max %.2f, less1 p99"
              + " %.2f max %.2f | ampl %.3f waste %.3f refused %s (%.1f s)%n",
          policy.name(),
          result.ran(),
          result.late(),
          result.notRun(),
          result.unknown(),
          result.reuse(),
          first.getValueAtPercentile(50),
          first.getValueAtPercentile(99),
          quick.getValueAtPercentile(99),
          all.getValueAtPercentile(99),
          result.tokenInterval().getValueAtPercentile(95),
          skews[skews.length / 2],
          skews[skews.length * 99 / 100],
          skews[skews.length - 1],
          less[less.length * 99 / 100],
          less[less.length - 1],
          result.amplification(),
          result.waste(),
          result.refusals(),
          (System.nanoTime() - startNs) / 1e9);
    }
  }
}
