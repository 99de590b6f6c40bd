package org.bulrushweir.quarantine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeSet;
import org.bulrushweir.balancing.PromptSegment;

/**
 * Decides which prompt segments are kept away from engines because engines crash when they begin to
 * answer them. It answers the load of a day on which requests with one such segment come at all
 * gateways, share everything else with sound requests, and would end engine after engine.
 *
 * <p>Each crash has suspects: the shared segments of all requests that the engine had just begun to
 * answer or was about to, as reported by all gateways. A segment is quarantined if it was a suspect
 * of several crashes, and of most since the first of them, and if no request with it was answered
 * since. Segments that sound requests use too are cleared by the answers to these. Crashes that a
 * quarantined segment explains do not count against their other suspects, and crashes at the same
 * moment count once, since engines that share a rack or a network end together through no fault of
 * a prompt. A quarantine ends some minutes after the last crash with the segment as a suspect,
 * however many requests with it are refused meanwhile.
 *
 * <p>Not thread-safe; the caller confines it to one thread.
 */
public final class PromptQuarantine {

  /** The time for which a crash counts, in milliseconds. */
  static final long EVIDENCE_MS = 60_000;

  /** The number of crashes without an answer from which a segment is quarantined. */
  private static final int MIN_CRASHES = 3;

  /**
   * The share of the crashes since the first one with a segment that must have it as a suspect. If
   * engines end for another reason, each segment is a suspect of a few of many crashes.
   */
  private static final double MIN_EXPLAINED_SHARE = 0.5;

  /** The number of crashes from which segments that can't be told apart are all quarantined. */
  private static final int MIN_CRASHES_IF_TIED = 5;

  /** The time within which crashes count as one, in milliseconds. */
  private static final long SAME_MOMENT_MS = 200;

  /**
   * The age from which a crash counts, in milliseconds: two report intervals, so that its suspects
   * at other gateways are known.
   */
  private static final long SETTLE_MS = 400;

  /** The time for which crashes and answers are reported again, in milliseconds. */
  private static final long REPORTED_MS = 2_000;

  private static final int MAX_CRASHES = 64;
  private static final int MAX_SUSPECTS = 256;
  private static final int MAX_ANSWERED = 8_192;

  /**
   * The number of segments that are quarantined of those that can't be told apart, so that a prompt
   * with a long history leaves room for others.
   */
  private static final int MAX_TIED = QuarantinedSegments.CAPACITY / 4;

  private static final int MAX_REPORTED_CRASHES = 8;
  private static final int MAX_REPORTED_SUSPECTS = 32;
  private static final int MAX_REPORTED_ANSWERS = 64;

  private final Map<EndpointRun, Crash> crashes = boundedMap(MAX_CRASHES, false);
  private final Map<Long, Long> answeredAtMs = boundedMap(MAX_ANSWERED, true);
  private final QuarantinedSegments quarantined = new QuarantinedSegments();
  private final Set<Long> withoutRoom = new TreeSet<>();

  private static <K, V> Map<K, V> boundedMap(final int capacity, final boolean accessOrder) {
    return new LinkedHashMap<>(16, 0.75f, accessOrder) {
      @Override
      protected boolean removeEldestEntry(final Map.Entry<K, V> eldest) {
        return size() > capacity;
      }
    };
  }

  /**
   * Records that this gateway saw an endpoint crash.
   *
   * @param run the life of the endpoint that ended
   * @param prompts the prompts of the requests that it had just begun to answer or was about to
   * @param nowMs the current time, in Unix milliseconds
   */
  public void recordCrash(
      final EndpointRun run, final Collection<List<PromptSegment>> prompts, final long nowMs) {
    final Crash crash = crashes.computeIfAbsent(run, key -> new Crash(nowMs));
    for (final List<PromptSegment> prompt : prompts) {
      for (final PromptSegment segment : PromptSegment.shared(prompt)) {
        crash.addSuspect(segment.id());
        crash.addOwnSuspect(segment.id());
      }
    }
  }

  /**
   * Records that a request was answered completely, which clears the segments of its prompt.
   *
   * @param prompt the prompt
   * @param nowMs the current time, in Unix milliseconds
   */
  public void recordAnswer(final List<PromptSegment> prompt, final long nowMs) {
    for (final PromptSegment segment : PromptSegment.shared(prompt)) {
      clear(segment.id(), nowMs);
    }
  }

  private void clear(final long segment, final long answeredMs) {
    answeredAtMs.merge(segment, answeredMs, Math::max);
    quarantined.remove(segment);
  }

  /**
   * Finds a segment of a prompt that is in quarantine.
   *
   * @param prompt the prompt of a request that came or is to be sent
   * @param nowMs the current time, in Unix milliseconds
   * @return the id of the segment, empty if the request may be sent to engines
   */
  public OptionalLong findQuarantined(final List<PromptSegment> prompt, final long nowMs) {
    final OptionalLong found = previewQuarantined(prompt);
    if (found.isPresent()) {
      quarantined.recordRequest(found.getAsLong(), nowMs);
    }
    return found;
  }

  /**
   * Returns the same as {@link #findQuarantined} without recording the request.
   *
   * @param prompt the segments of the prompt in order
   * @return the id of the segment, empty if there is none
   */
  public OptionalLong previewQuarantined(final List<PromptSegment> prompt) {
    if (quarantined.isEmpty()) {
      return OptionalLong.empty();
    }
    for (final PromptSegment segment : PromptSegment.shared(prompt)) {
      if (quarantined.contains(segment.id())) {
        return OptionalLong.of(segment.id());
      }
    }
    return OptionalLong.empty();
  }

  /**
   * Returns the number of segments in quarantine.
   *
   * @return the number
   */
  public int size() {
    return quarantined.size();
  }

  /**
   * Quarantines the segments that explain the crashes, and forgets what is too old.
   *
   * @param nowMs the current time, in Unix milliseconds
   * @return the ids of the segments that were quarantined by this call, empty if there are none
   */
  public List<Long> update(final long nowMs) {
    crashes.values().removeIf(crash -> nowMs - crash.seenAtMs > EVIDENCE_MS);
    crashes.values().forEach(crash -> renewQuarantine(crash, nowMs));
    quarantined.removeLapsed(nowMs);
    withoutRoom.clear();
    final List<Long> added = new ArrayList<>();
    List<Long> found = quarantineMostSuspect(nowMs);
    // Each round adds a segment, and no later round displaces it: the capacity bounds the rounds.
    while (!found.isEmpty()) {
      added.addAll(found);
      found = quarantineMostSuspect(nowMs);
    }
    return added;
  }

  /**
   * Returns the segments that the last update would have quarantined if the quarantine had room.
   *
   * @return the ids of the segments
   */
  public Set<Long> withoutRoom() {
    return Collections.unmodifiableSet(withoutRoom);
  }

  /** Records a crash with the segments in quarantine that are its suspects. */
  private void renewQuarantine(final Crash crash, final long nowMs) {
    crash.suspects.stream()
        .filter(quarantined::contains)
        .forEach(segment -> quarantined.add(segment, crash.seenAtMs, nowMs));
  }

  /**
   * Quarantines the segments that explain most crashes. Of many that can't be told apart, all
   * gateways choose the same.
   *
   * @return the segments for which there was room, empty if there are none
   */
  private List<Long> quarantineMostSuspect(final long nowMs) {
    return mostSuspect(nowMs).stream()
        .sorted()
        .limit(MAX_TIED)
        .filter(segment -> quarantine(segment, nowMs))
        .toList();
  }

  private boolean quarantine(final long segment, final long nowMs) {
    final boolean added = quarantined.add(segment, lastCrashMs(segment), nowMs);
    if (!added) {
      withoutRoom.add(segment);
    }
    return added;
  }

  private long lastCrashMs(final long segment) {
    return crashes.values().stream()
        .filter(crash -> crash.suspects.contains(segment))
        .mapToLong(crash -> crash.seenAtMs)
        .max()
        .orElseThrow();
  }

  /** Returns the segments that explain most crashes, empty if the evidence does not suffice. */
  private Set<Long> mostSuspect(final long nowMs) {
    int most = MIN_CRASHES;
    long bestAnswerMs = Long.MAX_VALUE;
    final Set<Long> best = new HashSet<>();
    for (final Map.Entry<Long, Evidence> entry : evidence(nowMs).entrySet()) {
      final int count = entry.getValue().moments;
      final long answerMs = lastAnswerMs(entry.getKey());
      if (!entry.getValue().explainsEnough()) {
        continue;
      }
      if (count > most || count == most && answerMs < bestAnswerMs) {
        best.clear();
        most = count;
        bestAnswerMs = answerMs;
      }
      if (count == most && answerMs == bestAnswerMs) {
        best.add(entry.getKey());
      }
    }
    return best.size() == 1 || most >= MIN_CRASHES_IF_TIED ? best : Set.of();
  }

  /** Returns the evidence against the segments that are suspects of enough crashes. */
  private Map<Long, Evidence> evidence(final long nowMs) {
    final List<Crash> unexplained = unexplainedCrashes(nowMs);
    final Map<Long, Integer> crashCounts = new HashMap<>();
    for (final Crash crash : unexplained) {
      crash.suspects.forEach(segment -> crashCounts.merge(segment, 1, Integer::sum));
    }
    final Map<Long, Evidence> evidence = new HashMap<>();
    crashCounts.forEach(
        (segment, count) -> {
          if (count >= MIN_CRASHES) {
            evidence.put(segment, evidenceAgainst(segment, unexplained));
          }
        });
    return evidence;
  }

  private Evidence evidenceAgainst(final long segment, final List<Crash> unexplained) {
    final long answerMs = lastAnswerMs(segment);
    final Evidence evidence = new Evidence();
    for (final Crash crash : unexplained) {
      evidence.add(crash.seenAtMs, crash.seenAtMs > answerMs && crash.suspects.contains(segment));
    }
    return evidence;
  }

  private long lastAnswerMs(final long segment) {
    return answeredAtMs.getOrDefault(segment, Long.MIN_VALUE);
  }

  private boolean wasAnsweredRecently(final long segment, final long nowMs) {
    final Long answerMs = answeredAtMs.get(segment);
    return answerMs != null && nowMs - answerMs <= REPORTED_MS;
  }

  /** Returns the settled crashes without a suspect in quarantine, the earliest first. */
  private List<Crash> unexplainedCrashes(final long nowMs) {
    return crashes.values().stream()
        .filter(crash -> nowMs - crash.seenAtMs >= SETTLE_MS)
        .filter(crash -> crash.suspects.stream().noneMatch(quarantined::contains))
        .sorted((one, other) -> Long.compare(one.seenAtMs, other.seenAtMs))
        .toList();
  }

  /**
   * Returns the report to the peers.
   *
   * @param nowMs the current time, in Unix milliseconds
   * @return what the peers need to come to the same decisions
   */
  public QuarantineReport report(final long nowMs) {
    final List<EndpointCrash> recent = new ArrayList<>();
    final List<SegmentAge> quarantinedAges = quarantined.ages(nowMs);
    final Set<Long> suspects = new LinkedHashSet<>();
    quarantinedAges.forEach(age -> suspects.add(age.segment()));
    crashes.forEach(
        (run, crash) -> {
          suspects.addAll(crash.suspects);
          if (!crash.ownSuspects.isEmpty() && nowMs - crash.seenAtMs <= REPORTED_MS) {
            recent.add(
                new EndpointCrash(run, nowMs - crash.seenAtMs, Set.copyOf(crash.ownSuspects)));
          }
        });
    return new QuarantineReport(
        recent.subList(Math.max(0, recent.size() - MAX_REPORTED_CRASHES), recent.size()),
        suspects.stream()
            .filter(segment -> wasAnsweredRecently(segment, nowMs))
            .limit(MAX_REPORTED_ANSWERS)
            .map(segment -> new SegmentAge(segment, nowMs - lastAnswerMs(segment)))
            .toList(),
        quarantinedAges);
  }

  /**
   * Applies a peer's report. Applying it again changes nothing.
   *
   * @param report the report
   * @param nowMs the current time, in Unix milliseconds
   */
  public void applyReport(final QuarantineReport report, final long nowMs) {
    for (final EndpointCrash reported : report.crashes()) {
      final Crash crash =
          crashes.computeIfAbsent(
              reported.run(), run -> new Crash(nowMs - Math.max(0, reported.ageMs())));
      reported.suspects().forEach(crash::addSuspect);
    }
    for (final SegmentAge answered : report.answered()) {
      clear(answered.segment(), nowMs - Math.max(0, answered.ageMs()));
    }
    for (final SegmentAge reported : report.quarantined()) {
      final long ageMs = Math.max(0, reported.ageMs());
      if (ageMs <= QuarantinedSegments.MAX_TAKEN_OVER_MS
          && !quarantined.contains(reported.segment())
          && !wasAnsweredRecently(reported.segment(), nowMs)) {
        quarantined.add(reported.segment(), nowMs - ageMs, nowMs);
      }
    }
  }

  /** A crash and all of its suspects that are known here. */
  private static final class Crash {
    private final Set<Long> suspects = new HashSet<>();
    private final Set<Long> ownSuspects = new HashSet<>();
    private final long seenAtMs;

    Crash(final long seenAtMs) {
      this.seenAtMs = seenAtMs;
    }

    void addSuspect(final long segment) {
      if (suspects.size() < MAX_SUSPECTS) {
        suspects.add(segment);
      }
    }

    void addOwnSuspect(final long segment) {
      if (ownSuspects.size() < MAX_REPORTED_SUSPECTS) {
        ownSuspects.add(segment);
      }
    }
  }

  /** The crashes since the first one that speaks against a segment. */
  private static final class Evidence {
    private int crashes;
    private int explained;
    private int moments;
    private long lastMomentMs;

    void add(final long crashMs, final boolean isSuspect) {
      if (isSuspect || crashes > 0) {
        crashes++;
      }
      if (!isSuspect) {
        return;
      }
      explained++;
      if (moments == 0 || crashMs - lastMomentMs >= SAME_MOMENT_MS) {
        moments++;
        lastMomentMs = crashMs;
      }
    }

    boolean explainsEnough() {
      return moments >= MIN_CRASHES && explained >= MIN_EXPLAINED_SHARE * crashes;
    }
  }
}
