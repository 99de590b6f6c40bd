package org.bulrushweir.coldstart;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.bulrushweir.api.NodeId;
import org.bulrushweir.routing.BitMixer;

/**
 * Which gateways may be running, as one of them knows it, and whether the others may be expected to
 * count this one.
 */
public final class GatewayView {

  /** The time after its last report for which a peer counts, in milliseconds. */
  static final long COUNTED_MS = 30_000;

  /**
   * The time for which a registered peer counts that is not heard, in milliseconds. Registrations
   * are never removed, so that those of gateways that are gone must end some time.
   */
  static final long REGISTERED_MS = 600_000;

  /**
   * The time for which a peer counts that says that it stops, in milliseconds. It exceeds the time
   * for which the peer's last requests count.
   */
  static final long LEAVING_MS = 3_000;

  /**
   * The time after the start or a gap before a gateway uses its share, in milliseconds: peers get
   * several of its reports within 600 ms, and the requests that they sent before count for 1,200
   * ms.
   */
  static final long JOIN_MS = 2_000;

  /**
   * The time after the start before a gateway uses its share that has not heard all of the others,
   * in milliseconds: those that it can't reach read its registration within 15 s.
   */
  static final long JOIN_UNHEARD_MS = 17_000;

  /** The shortest gap between two activities that counts as a freeze, in milliseconds. */
  static final long GAP_MS = 1_000;

  /**
   * The time without any report after which a gateway that knows peers gives up its share, in
   * milliseconds; a third of the time for which peers count it.
   */
  static final long ISOLATED_MS = 10_000;

  /**
   * The time after a gap within which reports may have waited in the socket's buffer, in
   * milliseconds.
   */
  private static final long STALE_REPORTS_MS = 500;

  /** A time before all others. */
  private static final long NEVER_MS = Long.MIN_VALUE / 2;

  private final Map<NodeId, Member> members = new HashMap<>();
  private final NodeId self;
  private long[] counted = new long[0];
  private long version;
  private long lastActiveMs = NEVER_MS;
  private long joiningSinceMs = NEVER_MS;
  private long lastHeardMs = NEVER_MS;
  private long registeredSinceMs = NEVER_MS;
  private boolean registered;
  private boolean allHeard;

  /**
   * Creates a view that holds this gateway only.
   *
   * @param self this gateway
   */
  public GatewayView(final NodeId self) {
    this.self = self;
  }

  /**
   * Records that this gateway runs. After a gap it counts as resumed.
   *
   * @param nowMs the current time, in Unix milliseconds
   */
  void recordActivity(final long nowMs) {
    if (nowMs - lastActiveMs > GAP_MS) {
      joiningSinceMs = nowMs;
    }
    lastActiveMs = nowMs;
  }

  /**
   * Records a peer's report.
   *
   * @param peer the peer
   * @param leaving whether the peer stops and sends no request after it
   * @param nowMs the current time, in Unix milliseconds
   */
  public void recordReport(final NodeId peer, final boolean leaving, final long nowMs) {
    recordActivity(nowMs);
    if (counted.length > 0 && nowMs - lastHeardMs > ISOLATED_MS) {
      // Peers that have dropped this gateway meanwhile hear of it as of a new one.
      joiningSinceMs = nowMs;
    }
    final Member member = members.computeIfAbsent(peer, id -> new Member());
    member.heardMs = nowMs;
    member.left = leaving;
    lastHeardMs = nowMs;
    if (!member.counted) {
      recount(nowMs);
    }
  }

  /**
   * Records which gateways the store lists, as it was read last.
   *
   * @param listed the registered gateways
   * @param nowMs the current time, in Unix milliseconds
   */
  public void recordRegistered(final Set<NodeId> listed, final long nowMs) {
    if (!registered && listed.contains(self)) {
      registered = true;
      registeredSinceMs = nowMs;
      joiningSinceMs = nowMs;
    }
    for (final NodeId node : listed) {
      if (!node.equals(self)) {
        members.computeIfAbsent(node, id -> new Member());
      }
    }
    for (final Map.Entry<NodeId, Member> member : members.entrySet()) {
      member.getValue().update(listed.contains(member.getKey()), nowMs);
    }
    recount(nowMs);
  }

  /**
   * Drops the gateways that need not be counted any longer. To be called periodically.
   *
   * @param nowMs the current time, in Unix milliseconds
   */
  public void update(final long nowMs) {
    recordActivity(nowMs);
    recount(nowMs);
  }

  private void recount(final long nowMs) {
    boolean changed = false;
    int count = 0;
    allHeard = true;
    for (final Member member : members.values()) {
      final boolean counts = member.counts(nowMs);
      changed |= counts != member.counted;
      member.counted = counts;
      count += counts ? 1 : 0;
      allHeard &= !counts || member.heardMs != NEVER_MS;
    }
    if (!changed) {
      return;
    }
    version++;
    counted = new long[count];
    int next = 0;
    for (final Map.Entry<NodeId, Member> entry : members.entrySet()) {
      if (entry.getValue().counted) {
        counted[next++] = hash(entry.getKey().value());
      }
    }
    members.values().removeIf(member -> !member.counted && !member.listed);
  }

  /**
   * Returns why this gateway may use no share.
   *
   * @param nowMs the current time, in Unix milliseconds
   * @return the reason, empty if it may use its share
   */
  public Optional<NoShareReason> noShareReason(final long nowMs) {
    recordActivity(nowMs);
    if (!registered) {
      return Optional.of(NoShareReason.NOT_REGISTERED);
    }
    if (nowMs - joiningSinceMs < JOIN_MS
        || !allHeard && nowMs - registeredSinceMs < JOIN_UNHEARD_MS) {
      return Optional.of(NoShareReason.STARTED_OR_RESUMED);
    }
    final boolean heard =
        nowMs - lastHeardMs <= ISOLATED_MS && lastHeardMs >= joiningSinceMs + STALE_REPORTS_MS;
    return heard || counted.length == 0 ? Optional.empty() : Optional.of(NoShareReason.ISOLATED);
  }

  /**
   * Returns the number of gateways that may be running.
   *
   * @return the number, including this one
   */
  public int size() {
    return 1 + counted.length;
  }

  /** Returns a number that grows with each change of the gateways that may be running. */
  long version() {
    return version;
  }

  /**
   * Returns this gateway's rank for a key among the gateways that may be running. For each key
   * another gateway is the first.
   *
   * @param key the key
   * @return the number of gateways before this one
   */
  int rank(final String key) {
    final long seed = hash(key);
    final long own = BitMixer.mix(seed ^ hash(self.value()));
    int rank = 0;
    for (final long peer : counted) {
      // Of two gateways with the same hash both have the later rank, which is safe.
      rank += BitMixer.mix(seed ^ peer) <= own ? 1 : 0;
    }
    return rank;
  }

  private static long hash(final String text) {
    long hash = 0;
    for (int index = 0; index < text.length(); index++) {
      hash = BitMixer.mix(hash + text.charAt(index) + 1);
    }
    return hash;
  }

  /** What is known of a peer. */
  private static final class Member {
    private long heardMs = NEVER_MS;
    private long listedMs = NEVER_MS;
    private long listedUntilMs = NEVER_MS;
    private boolean listed;
    private boolean left;
    private boolean counted;

    void update(final boolean isListed, final long nowMs) {
      if (listed && !isListed) {
        listedUntilMs = nowMs + COUNTED_MS;
      } else if (!listed && isListed) {
        listedMs = nowMs;
      }
      listed = isListed;
    }

    boolean counts(final long nowMs) {
      if (left) {
        return nowMs - heardMs <= LEAVING_MS;
      }
      return nowMs - heardMs <= COUNTED_MS
          || (listed || nowMs < listedUntilMs)
              && nowMs - Math.max(heardMs, listedMs) <= REGISTERED_MS;
    }
  }
}
