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
 * Keeps the latest report of every endpoint and decides which of them to tell a peer. News goes
 * first: a report is passed on a few times after it came, then only in rotation with all others, so
 * that what a lost datagram carried arrives later. Not safe for use by many threads.
 */
public final class EndpointTable {

  /** After how many milliseconds without a report an endpoint no longer counts as a member. */
  public static final long MEMBER_TIMEOUT_MS = 5_000;

  /** After how many milliseconds without a report an endpoint is forgotten. */
  public static final long EXPIRY_MS = 30_000;

  /** Up to which age a reported load counts in full, in milliseconds. */
  private static final long FULL_MS = 500;

  /** How many groups of entries are told apart: leaving, of the peer's service, others. */
  private static final int RANKS_PER_FORWARD = 3;

  /** What is known, by key. */
  private final Map<Long, EndpointEntry> entries = new HashMap<>();

  /** The keys that peers want described. */
  private final Set<Long> wanted = new LinkedHashSet<>();

  /** Bounds what gossip costs. */
  private final GossipSettings settings;

  /** Breaks ties. */
  private final RandomGenerator random;

  /** The keys in the order in which they are refreshed. */
  private List<Long> rotation = new ArrayList<>();

  /** The next index into the rotation. */
  private int rotationIndex;

  /** How often the endpoints or their states have changed. */
  private long version;

  /**
   * Creates an empty table.
   *
   * @param settings bounds what gossip costs
   * @param random breaks ties
   */
  public EndpointTable(final GossipSettings settings, final RandomGenerator random) {
    this.settings = settings;
    this.random = random;
  }

  /**
   * Computes the key of an endpoint.
   *
   * @param endpoint the endpoint
   * @return the key
   */
  public static long key(final EndpointId endpoint) {
    return Hashing.sipHash24().hashString(endpoint.value(), StandardCharsets.UTF_8).asLong();
  }

  /**
   * Takes a report.
   *
   * @param aged the report and its age
   * @param nowMs the current time
   * @return true if it is news
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
    final boolean isNews = known.update(report, nowMs - aged.ageMs());
    if (wasLeaving != known.report().leaving()) {
      version++;
    }
    return isNews;
  }

  /**
   * Takes a description of an endpoint that was heard of.
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
   * Takes a message of a peer.
   *
   * @param message the message
   * @param nowMs the current time
   * @return what the message has brought
   */
  public GossipUpdate receive(final GossipMessage message, final long nowMs) {
    final List<EndpointReport> news = new ArrayList<>();
    boolean urgent = false;
    for (final AgedReport aged : message.reports()) {
      final boolean change = isChange(aged.report());
      if (merge(aged, nowMs)) {
        news.add(aged.report());
        urgent |= change;
      }
    }
    message.infos().forEach(this::putInfo);
    for (final Long key : message.unknown()) {
      final EndpointEntry entry = entries.get(key);
      if (entry != null && entry.info() != null) {
        wanted.add(key);
      }
    }
    return new GossipUpdate(news, urgent);
  }

  /** Tells whether a report says more than another load: a new endpoint, life or state. */
  private boolean isChange(final EndpointReport report) {
    final EndpointEntry known = entries.get(report.key());
    return known == null
        || !known.report().incarnation().equals(report.incarnation())
        || known.report().leaving() != report.leaving();
  }

  /**
   * Composes a message to a peer. What is news goes first, and among that what concerns the peer's
   * own service.
   *
   * @param service the service of the peer's endpoint, empty for a router
   * @param nowMs the current time
   * @return the message
   */
  public GossipMessage compose(final String service, final long nowMs) {
    final Set<EndpointEntry> chosen = new LinkedHashSet<>(news(service));
    chosen.forEach(EndpointEntry::countForward);
    for (int count = 0; count < settings.refreshReports() && !entries.isEmpty(); count++) {
      chosen.add(nextInRotation());
    }
    final List<AgedReport> reports =
        chosen.stream()
            .map(entry -> new AgedReport(entry.report(), nowMs - entry.madeAtMs()))
            .toList();
    return new GossipMessage(reports, takeWantedInfos(), unknownKeys());
  }

  /**
   * Finds the entries to tell first among those that still are news: leaving endpoints, then those
   * of the peer's own service, then those that were passed on the least.
   */
  private List<EndpointEntry> news(final String service) {
    final List<List<EndpointEntry>> ranks = new ArrayList<>();
    for (int rank = 0; rank < RANKS_PER_FORWARD * settings.forwardLimit(); rank++) {
      ranks.add(new ArrayList<>());
    }
    for (final EndpointEntry entry : entries.values()) {
      if (entry.forwarded() < settings.forwardLimit()) {
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
      return entry.forwarded();
    }
    final int group = entry.isOf(service) ? 1 : 2;
    return group * settings.forwardLimit() + entry.forwarded();
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

  private List<EndpointInfo> takeWantedInfos() {
    final List<EndpointInfo> infos = new ArrayList<>();
    final Iterator<Long> iterator = wanted.iterator();
    while (iterator.hasNext() && infos.size() < settings.maximumInfos()) {
      final EndpointEntry entry = entries.get(iterator.next());
      iterator.remove();
      if (entry != null) {
        infos.add(entry.info());
      }
    }
    return infos;
  }

  private List<Long> unknownKeys() {
    final List<Long> keys = new ArrayList<>();
    for (final Map.Entry<Long, EndpointEntry> entry : entries.entrySet()) {
      if (entry.getValue().info() == null && keys.size() < settings.maximumInfos()) {
        keys.add(entry.getKey());
      }
    }
    return keys;
  }

  /**
   * Forgets the endpoints that have not been heard of for long.
   *
   * @param nowMs the current time
   */
  public void removeExpired(final long nowMs) {
    if (entries.values().removeIf(entry -> nowMs - entry.madeAtMs() > EXPIRY_MS)) {
      version++;
    }
    rotation = new ArrayList<>();
    rotationIndex = 0;
  }

  /**
   * Returns the latest report of an endpoint.
   *
   * @param key the endpoint's key
   * @param nowMs the current time
   * @return the report and its age, if the endpoint was heard of
   */
  public Optional<AgedReport> report(final long key, final long nowMs) {
    final EndpointEntry entry = entries.get(key);
    if (entry == null) {
      return Optional.empty();
    }
    return Optional.of(new AgedReport(entry.report(), nowMs - entry.madeAtMs()));
  }

  /**
   * Tells whether an endpoint has said that it takes no more work.
   *
   * @param key the endpoint's key
   * @return false if it has not or was not heard of
   */
  public boolean isLeaving(final long key) {
    final EndpointEntry entry = entries.get(key);
    return entry != null && entry.report().leaving();
  }

  /**
   * Tells whether the endpoints have changed since an earlier time.
   *
   * @return a number that grows when an endpoint comes, goes, leaves or is described
   */
  public long version() {
    return version;
  }

  /**
   * Returns the description of an endpoint.
   *
   * @param key the endpoint's key
   * @return the description, if there is one
   */
  public Optional<EndpointInfo> info(final long key) {
    return Optional.ofNullable(entries.get(key)).map(EndpointEntry::info);
  }

  /**
   * Lists the endpoints that are described.
   *
   * @return their descriptions
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
   * Returns the freshest reports of a service's endpoints, to ride on a message to one of them.
   *
   * @param service the service
   * @param receiver the key of the endpoint that the message goes to
   * @param limit how many at the most
   * @param nowMs the current time
   * @return the reports, freshest first
   */
  public List<AgedReport> freshest(
      final ServiceName service, final long receiver, final int limit, final long nowMs) {
    return members(service, nowMs).stream()
        .filter(entry -> entry.report().key() != receiver)
        .sorted(Comparator.comparingLong(EndpointEntry::madeAtMs).reversed())
        .limit(limit)
        .map(entry -> new AgedReport(entry.report(), nowMs - entry.madeAtMs()))
        .toList();
  }

  /**
   * Sums up the endpoints of a service that take work and were heard of lately.
   *
   * @param service the service
   * @param self the key of the asking endpoint
   * @param known how many endpoints the service has, heard of or only listed
   * @param nowMs the current time
   * @return the statistics
   */
  public PoolStatistics statistics(
      final ServiceName service, final long self, final int known, final long nowMs) {
    final List<EndpointEntry> members = members(service, nowMs);
    double sum = 0;
    long leastOfOthers = Long.MAX_VALUE;
    int paces = 0;
    final int[] sorted = new int[members.size()];
    for (final EndpointEntry member : members) {
      final long load = discounted(member, nowMs);
      sum += load;
      if (member.report().key() != self) {
        leastOfOthers = Math.min(leastOfOthers, load);
      }
      if (member.report().paceMicros() > 0) {
        sorted[paces] = member.report().paceMicros();
        paces++;
      }
    }
    Arrays.sort(sorted, 0, paces);
    final int median = paces == 0 ? 0 : sorted[paces / 2];
    return new PoolStatistics(
        known, members.size(), members.isEmpty() ? 0 : sum / members.size(), leastOfOthers, median);
  }

  /**
   * Counts a load for the less the older its report is, since it may have shrunk meanwhile, and a
   * mean that is too high lets endpoints take on too much.
   */
  private static long discounted(final EndpointEntry member, final long nowMs) {
    final long ageMs = nowMs - member.madeAtMs();
    if (ageMs <= FULL_MS) {
      return member.report().load();
    }
    final double share = (MEMBER_TIMEOUT_MS - ageMs) / (double) (MEMBER_TIMEOUT_MS - FULL_MS);
    return Math.round(member.report().load() * Math.max(0, share));
  }

  private List<EndpointEntry> members(final ServiceName service, final long nowMs) {
    final List<EndpointEntry> members = new ArrayList<>();
    for (final EndpointEntry entry : entries.values()) {
      final boolean counts =
          entry.info() != null
              && entry.info().service().equals(service)
              && !entry.report().leaving()
              && nowMs - entry.madeAtMs() <= MEMBER_TIMEOUT_MS;
      if (counts) {
        members.add(entry);
      }
    }
    return members;
  }

  /**
   * Counts the endpoints.
   *
   * @return how many were heard of
   */
  public int size() {
    return entries.size();
  }
}
