package org.bulrushweir.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import java.util.stream.IntStream;

/** Checks that gateways follow the configurations, from how they handle requests. */
final class VersionChecker {

  /** How long a confirmed configuration may take to be in force, in milliseconds. */
  private static final long APPLY_MS = 2_000;

  /** How long older configurations may still be in force at a process, in milliseconds. */
  private static final long REVERT_SLACK_MS = 250;

  private final Map<String, List<Seen>> seen = new HashMap<>();
  private final Configurations configurations;
  private final Checker checker;

  /**
   * The effect of a version.
   *
   * @param index the oldest version that has this effect
   * @param atMs when it was seen
   */
  private record Seen(int index, long atMs) {}

  VersionChecker(final Configurations configurations, final Checker checker) {
    this.configurations = configurations;
    this.checker = checker;
  }

  /**
   * Checks a run.
   *
   * @param request the request
   * @param service where it runs
   * @param tenant on whose behalf
   */
  void checkRun(final CallerRequest request, final String service, final String tenant) {
    check(
        request,
        version -> version.allows(request, service) && version.tenant(request.key()).equals(tenant),
        "runs at " + service + " for " + tenant);
  }

  /**
   * Checks an answer of a gateway's own that says that a request is not allowed.
   *
   * @param request the request
   * @param status the status
   */
  void checkDenial(final CallerRequest request, final int status) {
    if (status != 401 && status != 404
        || request.traffic() != Traffic.PROBE && request.key().equals(Configurations.STEADY_KEY)) {
      checker.breach(Promise.NOT_DENIED, request + " got " + status);
      return;
    }
    check(
        request,
        version ->
            status == 401
                ? !version.allowsKey(request.key())
                : !version.allowsRoute(request.route()),
        "got " + status);
  }

  private void check(
      final CallerRequest request,
      final Predicate<Configurations.Version> handles,
      final String handling) {
    final List<Configurations.Version> all = configurations.versions();
    final int[] possible =
        IntStream.range(0, all.size()).filter(index -> handles.test(all.get(index))).toArray();
    if (possible.length == 0) {
      checker.breach(Promise.ALLOWED_ROUTE, request + " " + handling + ", as no version says");
      return;
    }
    final int oldest = possible[0];
    final int newest = possible[possible.length - 1];
    final int inForce = configurations.newestConfirmed(request.sentAtMs() - APPLY_MS);
    if (newest < inForce && checker.isInTouch(request.gateway(), request.sentAtMs() - APPLY_MS)) {
      checker.breach(
          Promise.CONFIG_APPLIED,
          request + " " + handling + " as in " + all.get(newest) + " after " + all.get(inForce));
    }
    checkRevert(request, oldest, newest, handling);
  }

  private synchronized void checkRevert(
      final CallerRequest request, final int oldest, final int newest, final String handling) {
    final List<Seen> effects =
        seen.computeIfAbsent(request.gateway() + '#' + request.boot(), key -> new ArrayList<>());
    final boolean reverted =
        effects.stream()
            .anyMatch(
                it -> it.index() > newest && request.sentAtMs() > it.atMs() + REVERT_SLACK_MS);
    if (reverted) {
      checker.breach(
          Promise.NO_REVERT,
          request + " " + handling + " as in version number " + newest + " after " + effects);
    }
    if (effects.isEmpty() || effects.getLast().index() < oldest) {
      effects.add(new Seen(oldest, checker.nowMs()));
    }
  }
}
