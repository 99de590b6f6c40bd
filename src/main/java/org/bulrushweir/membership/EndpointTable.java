package org.bulrushweir.membership;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.bulrushweir.api.EndpointId;
import org.bulrushweir.api.ServiceName;

/**
 * Stores the latest report of every endpoint and selects the reports that a gossip message carries.
 * A newly received report takes precedence in a limited number of messages; after that it is sent
 * only in rotation with all other reports, which repairs the loss of datagrams. Not thread-safe.
 */
public final class EndpointTable {

  /**
   * Age of its latest report, in milliseconds, beyond which an endpoint no longer counts as a
   * member of its service.
   */
  public static final long MEMBER_TIMEOUT_MS = 5_000;

  /**
   * Age of its latest report, in milliseconds, beyond which an endpoint is removed from the table.
   */
  public static final long EXPIRY_MS = 30_000;

  /** Age of a report, in milliseconds, up to which its load is not discounted. */
  private static final long UNDISCOUNTED_AGE_MS = 500;

  /**
   * Number of priority groups of entries: leaving endpoints, those of the peer's service, others.
   */
  private static final int RANK_GROUPS = 3;

  /** The entries by endpoint key. */
  private final Map<Long, EndpointEntry> entries = new HashMap<>();

  /** Keys of the endpoints whose descriptions peers have requested. */
  private final Set<Long> requestedKeys = new LinkedHashSet<>();

  /** Limits of the message size and of forwarding. */
  private final GossipSettings settings;

  /** Selects the starting point among entries of equal priority. */
  private final RandomGenerator random;

  /** Keys in the order in which their reports are refreshed, independent of the forward limit. */
  private List<Long> rotation = new ArrayList<>();

  /** Index into the rotation of the next report to send. */
  private int rotationIndex;

  /** Number of changes to the set of endpoints, their descriptions or their leaving state. */
  private long version;

  /**
   * Creates an empty table.
   *
   * @param settings the limits of the message size and of forwarding
   * @param random the source for choices among entries of equal priority
   */
  public EndpointTable(final GossipSettings settings, final RandomGenerator random) {
    this.settings = settings;
    this.random = random;
  }

  /**
   * Computes the key under which reports identify an endpoint.
   *
   * @param endpoint the endpoint
   * @return the 64-bit SipHash of the endpoint's id
   */
  public static long key(final EndpointId endpoint) {
    return Hashing.sipHash24().hashString(endpoint.value(), StandardCharsets.UTF_8).asLong();
  }

  /**
   * Stores a report if it is newer than the stored one of the same endpoint.
   *
   * @param aged the report and its age
   * @param nowMs the current time in milliseconds of the process's clock
   * @return true if the report was stored
   */
  public boolean merge(final AgedReport aged, final long nowMs) {
    final EndpointReport report = aged.report();
    final EndpointEntry known = entries.get(report.key());
    if (known == null) {
      entries.put(report.key(), new EndpointEntry(report, nowMs - aged.ageMs()));
      version++;
      return true;
    }
    final boolean wasLeaving = known.report().leaving();
    final boolean isNewer = known.update(report, nowMs - aged.ageMs());
    if (wasLeaving != known.report().leaving()) {
      version++;
    }
    return isNewer;
  }

  /**
   * Stores the description of an endpoint. It is ignored while the endpoint has no report.
   *
   * @param info the description
   */
  public void putInfo(final EndpointInfo info) {
    final EndpointEntry entry = entries.get(key(info.id()));
    if (entry != null && !info.equals(entry.info())) {
      entry.info(info);
      version++;
    }
  }

  /**
   * Stores the reports and descriptions of a peer's message and notes the descriptions that it
   * requests.
   *
   * @param message the message
   * @param nowMs the current time in milliseconds of the process's clock
   * @return the reports that were newer than the stored ones, empty if there are none, and whether
   *     one of them is urgent
   */
  public GossipUpdate receive(final GossipMessage message, final long nowMs) {
    final List<EndpointReport> newer = new ArrayList<>();
    boolean urgent = false;
    for (final AgedReport aged : message.reports()) {
      final boolean stateChange = isStateChange(aged.report());
      if (merge(aged, nowMs)) {
        newer.add(aged.report());
        urgent |= stateChange;
      }
    }
    message.infos().forEach(this::putInfo);
    for (final Long key : message.unknown()) {
      final EndpointEntry entry = entries.get(key);
      if (entry != null && entry.info() != null) {
        requestedKeys.add(key);
      }
    }
    return new GossipUpdate(newer, urgent);
  }

  /**
   * Returns whether a report changes more than load and pace: a new endpoint, a new incarnation or
   * another leaving state.
   */
  private boolean isStateChange(final EndpointReport report) {
    final EndpointEntry known = entries.get(report.key());
    return known == null
        || !known.report().incarnation().equals(report.incarnation())
        || known.report().leaving() != report.leaving();
  }

  /**
   * Composes a gossip message to a peer. Reports that have been sent fewer times than the forward
   * limit come first: those of leaving endpoints, then of the peer's own service, then the others.
   *
   * @param service the service of the peer's endpoint, empty for a router
   * @param nowMs the current time in milliseconds of the process's clock
   * @return the message
   */
  public GossipMessage compose(final String service, final long nowMs) {
    final Set<EndpointEntry> chosen = new LinkedHashSet<>(entriesToForward(service));
    chosen.forEach(EndpointEntry::incrementForwardCount);
    for (int count = 0; count < settings.refreshReports() && !entries.isEmpty(); count++) {
      chosen.add(nextInRotation());
    }
    final List<AgedReport> reports =
        chosen.stream()
            .map(entry -> new AgedReport(entry.report(), nowMs - entry.createdAtMs()))
            .toList();
    return new GossipMessage(reports, takeRequestedInfos(), keysWithoutInfo());
  }

  /**
   * Selects the entries below the forward limit in order of priority: leaving endpoints, then those
   * of the peer's own service, then the others; within a group, the least forwarded first.
   */
  private List<EndpointEntry> entriesToForward(final String service) {
    final List<List<EndpointEntry>> ranks = new ArrayList<>();
    for (int rank = 0; rank < RANK_GROUPS * settings.forwardLimit(); rank++) {
      ranks.add(new ArrayList<>());
    }
    for (final EndpointEntry entry : entries.values()) {
      if (entry.forwardCount() < settings.forwardLimit()) {
        ranks.get(rank(entry, service)).add(entry);
      }
    }
    final int limit = settings.maximumReports() - settings.refreshReports();
    final List<EndpointEntry> chosen = new ArrayList<>(limit);
    for (final List<EndpointEntry> rank : ranks) {
      final int start = rank.isEmpty() ? 0 : random.nextInt(rank.size());
      for (int index = 0; index < rank.size() && chosen.size() < limit; index++) {
        chosen.add(rank.get((start + index) % rank.size()));
      }
    }
    return chosen;
  }

  private int rank(final EndpointEntry entry, final String service) {
    if (entry.report().leaving()) {
      return entry.forwardCount();
    }
    final int group = entry.belongsTo(service) ? 1 : 2;
    return group * settings.forwardLimit() + entry.forwardCount();
  }

  private EndpointEntry nextInRotation() {
    if (rotationIndex >= rotation.size()) {
      rotation = new ArrayList<>(entries.keySet());
      rotationIndex = 0;
    }
    final EndpointEntry entry = entries.get(rotation.get(rotationIndex));
    rotationIndex++;
    return entry;
  }

  private List<EndpointInfo> takeRequestedInfos() {
    final List<EndpointInfo> infos = new ArrayList<>();
    final Iterator<Long> iterator = requestedKeys.iterator();
    while (iterator.hasNext() && infos.size() < settings.maximumInfos()) {
      final EndpointEntry entry = entries.get(iterator.next());
      iterator.remove();
      if (entry != null) {
        infos.add(entry.info());
      }
    }
    return infos;
  }

  private List<Long> keysWithoutInfo() {
    final List<Long> keys = new ArrayList<>();
    for (final Map.Entry<Long, EndpointEntry> entry : entries.entrySet()) {
      if (entry.getValue().info() == null && keys.size() < settings.maximumInfos()) {
        keys.add(entry.getKey());
      }
    }
    return keys;
  }

  /**
   * Removes the endpoints whose latest report is older than {@link #EXPIRY_MS}, and restarts the
   * rotation.
   *
   * @param nowMs the current time in milliseconds of the process's clock
   */
  public void removeExpired(final long nowMs) {
    if (entries.values().removeIf(entry -> nowMs - entry.createdAtMs() > EXPIRY_MS)) {
      version++;
    }
    rotation = new ArrayList<>();
    rotationIndex = 0;
  }

  /**
   * Returns the latest report of an endpoint.
   *
   * @param key the endpoint's key
   * @param nowMs the current time in milliseconds of the process's clock
   * @return the report and its age, empty if the table has no report of the endpoint
   */
  public Optional<AgedReport> report(final long key, final long nowMs) {
    final EndpointEntry entry = entries.get(key);
    if (entry == null) {
      return Optional.empty();
    }
    return Optional.of(new AgedReport(entry.report(), nowMs - entry.createdAtMs()));
  }

  /**
   * Returns whether an endpoint has reported that it accepts no new work.
   *
   * @param key the endpoint's key
   * @return false also if the table has no report of the endpoint
   */
  public boolean isLeaving(final long key) {
    final EndpointEntry entry = entries.get(key);
    return entry != null && entry.report().leaving();
  }

  /**
   * Returns the version of the table, by which callers detect changes.
   *
   * @return a number that increases when an endpoint is added or removed, or its leaving state or
   *     description changes
   */
  public long version() {
    return version;
  }

  /**
   * Returns the description of an endpoint.
   *
   * @param key the endpoint's key
   * @return the description, empty if none was received
   */
  public Optional<EndpointInfo> info(final long key) {
    return Optional.ofNullable(entries.get(key)).map(EndpointEntry::info);
  }

  /**
   * Returns the descriptions of all endpoints that have one.
   *
   * @return the descriptions, in no particular order
   */
  public List<EndpointInfo> infos() {
    final List<EndpointInfo> infos = new ArrayList<>();
    for (final EndpointEntry entry : entries.values()) {
      if (entry.info() != null) {
        infos.add(entry.info());
      }
    }
    return infos;
  }

  /**
   * Returns the newest reports of a service's endpoints, to be attached to a message to one of
   * them. Only endpoints that accept work, have a description and a report at most {@link
   * #MEMBER_TIMEOUT_MS} old are included.
   *
   * @param service the service
   * @param receiver the key of the receiving endpoint, whose own report is left out
   * @param limit the maximum number of reports
   * @param nowMs the current time in milliseconds of the process's clock
   * @return the reports, newest first
   */
  public List<AgedReport> freshest(
      final ServiceName service, final long receiver, final int limit, final long nowMs) {
    return members(service, nowMs).stream()
        .filter(entry -> entry.report().key() != receiver)
        .sorted(Comparator.comparingLong(EndpointEntry::createdAtMs).reversed())
        .limit(limit)
        .map(entry -> new AgedReport(entry.report(), nowMs - entry.createdAtMs()))
        .toList();
  }

  /**
   * Computes statistics over the endpoints of a service that accept work and whose reports are at
   * most {@link #MEMBER_TIMEOUT_MS} old.
   *
   * @param service the service
   * @param self the key of the endpoint that requests the statistics
   * @param known the number of endpoints of the service, whether they have reported or are only
   *     listed
   * @param nowMs the current time in milliseconds of the process's clock
   * @return the number of members, their mean load, the least load of the others and the median
   *     pace of the members; see {@link PoolStatistics} for the units and the values without data
   */
  public PoolStatistics statistics(
      final ServiceName service, final long self, final int known, final long nowMs) {
    final List<EndpointEntry> members = members(service, nowMs);
    double sum = 0;
    long leastOfOthers = Long.MAX_VALUE;
    int paceCount = 0;
    final int[] sortedPaces = new int[members.size()];
    for (final EndpointEntry member : members) {
      final long load = discountedLoad(member, nowMs);
      sum += load;
      if (member.report().key() != self) {
        leastOfOthers = Math.min(leastOfOthers, load);
      }
      if (member.report().paceMicros() > 0) {
        sortedPaces[paceCount] = member.report().paceMicros();
        paceCount++;
      }
    }
    Arrays.sort(sortedPaces, 0, paceCount);
    final int median = paceCount == 0 ? 0 : sortedPaces[paceCount / 2];
    return new PoolStatistics(
        known, members.size(), members.isEmpty() ? 0 : sum / members.size(), leastOfOthers, median);
  }

  /**
   * Returns a load discounted by the age of its report: the real load may have decreased since, and
   * a mean that is too high lets endpoints accept too much work.
   */
  private static long discountedLoad(final EndpointEntry member, final long nowMs) {
    final long ageMs = nowMs - member.createdAtMs();
    if (ageMs <= UNDISCOUNTED_AGE_MS) {
      return member.report().load();
    }
    final double share =
        (MEMBER_TIMEOUT_MS - ageMs) / (double) (MEMBER_TIMEOUT_MS - UNDISCOUNTED_AGE_MS);
    return Math.round(member.report().load() * Math.max(0, share));
  }

  private List<EndpointEntry> members(final ServiceName service, final long nowMs) {
    final List<EndpointEntry> members = new ArrayList<>();
    for (final EndpointEntry entry : entries.values()) {
      final boolean counts =
          entry.info() != null
              && entry.info().service().equals(service)
              && !entry.report().leaving()
              && nowMs - entry.createdAtMs() <= MEMBER_TIMEOUT_MS;
      if (counts) {
        members.add(entry);
      }
    }
    return members;
  }

  /**
   * Returns the number of endpoints in the table.
   *
   * @return the number of endpoints with a report
   */
  public int size() {
    return entries.size();
  }
}
