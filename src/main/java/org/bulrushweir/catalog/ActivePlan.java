package org.bulrushweir.catalog;

import java.util.Optional;

/**
 * Holds the routing plan in force. Its version never decreases, however plans arrive. The plan
 * counts as confirmed for a limited time after the store has reported that there is no newer one.
 */
public final class ActivePlan {

  /**
   * The time after the store's last confirmation for which this process may refuse requests that
   * the plan does not provide for, in milliseconds: the wait of a poll without peers plus its
   * timeout, see {@code ReadingSchedule}.
   */
  static final long CONFIRMATION_VALID_MS = 2_600;

  /**
   * The time after the first plan was read within which a newer plan of a peer means that the store
   * was behind, in milliseconds: several intervals of the peers' reports.
   */
  static final long START_MS = 2_000;

  /** The time for which a peer's report on its plan counts, in milliseconds. */
  static final long PEER_REPORT_VALID_MS = 3_000;

  private RoutingPlan current;
  private long confirmedAtMs = Long.MIN_VALUE / 2;
  private long versionToConfirm;
  private long newestPeerVersion;
  private long newestPeerHeardMs = Long.MIN_VALUE / 2;
  private long firstReadMs = Long.MIN_VALUE / 2;
  private boolean startedBehind;

  /**
   * Puts a plan in force if it is newer than the present one.
   *
   * @param plan the plan
   * @return true if the plan is newer and now in force
   */
  public boolean adoptIfNewer(final RoutingPlan plan) {
    if (current != null && plan.version() <= current.version()) {
      return false;
    }
    final boolean first = current == null;
    current = plan;
    startedBehind = (first || startedBehind) && plan.version() < newestPeerVersion;
    return true;
  }

  /**
   * Puts another plan in force that has the version of the present one: a store that was restored
   * from an older copy gives out the same versions again.
   *
   * @param plan the plan
   * @return true if it has the version of the present one and is now in force
   */
  public boolean adoptOfSameVersion(final RoutingPlan plan) {
    if (current == null || plan.version() != current.version()) {
      return false;
    }
    current = plan;
    return true;
  }

  /**
   * Records that the store has no newer plan than those read from it. Without effect after {@link
   * #recordRestoration} until the store holds a plan again that is not older than the present one.
   *
   * @param asOfMs the time as of which the store has none, in Unix milliseconds; without effect if
   *     it is earlier than that of another confirmation
   */
  public void recordConfirmation(final long asOfMs) {
    if (versionToConfirm == 0) {
      confirmedAtMs = Math.max(confirmedAtMs, asOfMs);
    }
  }

  /**
   * Records that a plan was read from the store.
   *
   * @param version the plan's version
   * @param nowMs the current time, in Unix milliseconds
   */
  public void recordRead(final long version, final long nowMs) {
    if (version >= versionToConfirm) {
      versionToConfirm = 0;
    }
    if (firstReadMs < 0) {
      firstReadMs = nowMs;
    }
    recordConfirmation(nowMs);
  }

  /**
   * Records that the store was restored from an older copy. It may hold an older plan than it did,
   * so it confirms nothing until it holds the present one again.
   */
  public void recordRestoration() {
    versionToConfirm = current == null ? 0 : current.version();
    confirmedAtMs = Long.MIN_VALUE / 2;
  }

  /**
   * Records that another gateway applies a plan. While the present one is older, this process does
   * not know what the newer one provides for.
   *
   * @param version the version of the other gateway's plan
   * @param nowMs the current time, in Unix milliseconds
   */
  public void recordPeerVersion(final long version, final long nowMs) {
    if (version >= newestPeerVersion) {
      newestPeerVersion = version;
      newestPeerHeardMs = nowMs;
    }
    startedBehind |= isPeerAhead(nowMs) && nowMs - firstReadMs <= START_MS;
  }

  private boolean isPeerAhead(final long nowMs) {
    return current != null
        && newestPeerVersion > current.version()
        && nowMs - newestPeerHeardMs <= PEER_REPORT_VALID_MS;
  }

  /**
   * Returns whether this process has started on a plan that was older than that of a peer, as the
   * store was restored from an older copy. It must not serve by that plan, which may allow what was
   * withdrawn since.
   *
   * @param nowMs the current time, in Unix milliseconds
   * @return false once a plan as new as the peer's was read, or no peer reports a newer one
   */
  public boolean isBehindSinceStart(final long nowMs) {
    return startedBehind && isPeerAhead(nowMs);
  }

  /**
   * Returns the plan in force.
   *
   * @return the plan, empty before the first one has arrived
   */
  public Optional<RoutingPlan> current() {
    return Optional.ofNullable(current);
  }

  /**
   * Returns whether the plan in force is confirmed as recent. Only then may a request that it does
   * not provide for be refused with a final status.
   *
   * @param nowMs the current time, in Unix milliseconds
   * @return false if there is no plan, a peer's is newer or the last confirmation is too old
   */
  public boolean isConfirmed(final long nowMs) {
    return current != null && !isPeerAhead(nowMs) && nowMs - confirmedAtMs <= CONFIRMATION_VALID_MS;
  }

  /**
   * Returns the age of the last confirmation.
   *
   * @param nowMs the current time, in Unix milliseconds
   * @return the age in milliseconds
   */
  public long confirmationAgeMs(final long nowMs) {
    return nowMs - confirmedAtMs;
  }
}
