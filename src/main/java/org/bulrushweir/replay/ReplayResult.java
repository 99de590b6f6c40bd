package org.bulrushweir.replay;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import org.bulrushweir.delivery.RefusalKind;

/** Collects what a replay measures. */
public final class ReplayResult {

  /** The longest time that is told apart, in milliseconds. */
  private static final long MAXIMUM_MS = 3_600_000;

  /** How many significant digits are kept. */
  private static final int DIGITS = 3;

  /** The policy's name. */
  private final String policy;

  /** Times to the first token by class, in milliseconds. */
  private final Map<String, Histogram> firstToken = new TreeMap<>();

  /** Times of whole answers by class, in milliseconds. */
  private final Map<String, Histogram> duration = new TreeMap<>();

  /** Times to the first token by organisation, in milliseconds. */
  private final Map<String, Histogram> firstTokenByOrganisation = new TreeMap<>();

  /** Times from a request to the news that it was not run, in milliseconds. */
  private final Histogram refusalTime = new Histogram(MAXIMUM_MS, DIGITS);

  /** Intervals between tokens, in milliseconds. */
  private final Histogram tokenInterval = new Histogram(MAXIMUM_MS, DIGITS);

  /** Counts refusals of attempts. */
  private final Map<RefusalKind, Integer> refusals = new EnumMap<>(RefusalKind.class);

  /** The prompts of answered requests. */
  private final List<PromptSample> prompts = new ArrayList<>();

  /** The loads of the engines over time. */
  private final List<LoadSample> samples = new ArrayList<>();

  /** How many requests there were. */
  private int requests;

  /** How many ran to their ends. */
  private int ran;

  /** How many of those had their first token or end after they were due. */
  private int late;

  /** How many were told that they were not run. */
  private int notRun;

  /** How many were told that nobody knows. */
  private int unknown;

  /** How many attempts were started at engines. */
  private int starts;

  /** How many prompt tokens of answered requests were cached. */
  private long cachedTokens;

  /** How many of them an unlimited cache that knows everything would have had. */
  private long cacheableTokens;

  /** How many tokens were generated or read for nothing. */
  private long wastedTokens;

  /** How many tokens were generated or read at all. */
  private long workTokens;

  /** When slots were busy with answers that came in time. */
  private final List<UsefulTime> usefulTimes = new ArrayList<>();

  /**
   * Creates an empty result.
   *
   * @param policy the policy's name
   */
  ReplayResult(final String policy) {
    this.policy = policy;
  }

  private static Histogram histogram(final Map<String, Histogram> histograms, final String name) {
    return histograms.computeIfAbsent(name, key -> new Histogram(MAXIMUM_MS, DIGITS));
  }

  void countRequest() {
    requests++;
  }

  /**
   * Takes note of a first token.
   *
   * @param workClass the class of work
   * @param organisation for whom
   * @param elapsedMs how long it took, in milliseconds
   */
  void countFirstToken(final String workClass, final String organisation, final long elapsedMs) {
    histogram(firstToken, workClass).recordValue(elapsedMs);
    histogram(firstTokenByOrganisation, organisation).recordValue(elapsedMs);
  }

  /**
   * Takes note of an answered request.
   *
   * @param workClass the class of work
   * @param elapsedMs how long the whole answer took, in milliseconds
   * @param wasLate whether the first token or the end came after it was due
   */
  void countRan(final String workClass, final long elapsedMs, final boolean wasLate) {
    ran++;
    late += wasLate ? 1 : 0;
    histogram(duration, workClass).recordValue(elapsedMs);
  }

  /**
   * Takes note of the prompt of an answered request.
   *
   * @param sample the prompt
   */
  void countPrompt(final PromptSample sample) {
    prompts.add(sample);
    cachedTokens += sample.cachedTokens();
    cacheableTokens += sample.cacheableTokens();
  }

  /**
   * Takes note of a request that was not run.
   *
   * @param elapsedMs how long it took to say so, in milliseconds
   */
  void countNotRun(final long elapsedMs) {
    notRun++;
    refusalTime.recordValue(elapsedMs);
  }

  void countUnknown() {
    unknown++;
  }

  void countStart() {
    starts++;
  }

  void countRefusal(final RefusalKind kind) {
    refusals.merge(kind, 1, Integer::sum);
  }

  void countTokenInterval(final double intervalMs) {
    tokenInterval.recordValue(Math.round(intervalMs));
  }

  /**
   * Takes note of an engine's work for an attempt.
   *
   * @param tokens the tokens read and generated
   * @param useful whether the caller got them
   */
  void countWork(final long tokens, final boolean useful) {
    workTokens += tokens;
    wastedTokens += useful ? 0 : tokens;
  }

  /**
   * Takes note that a slot was busy with an answer that came in time.
   *
   * @param startMs since when, in milliseconds since the start of the trace
   * @param endMs until when
   */
  void countUsefulTime(final long startMs, final long endMs) {
    usefulTimes.add(new UsefulTime(startMs, endMs));
  }

  void addSample(final LoadSample sample) {
    samples.add(sample);
  }

  /**
   * Returns the policy's name.
   *
   * @return a few words
   */
  public String policy() {
    return policy;
  }

  /**
   * Returns the times to the first token.
   *
   * @return histograms in milliseconds by class
   */
  public Map<String, Histogram> firstToken() {
    return firstToken;
  }

  /**
   * Returns the times to the first token.
   *
   * @return histograms in milliseconds by organisation
   */
  public Map<String, Histogram> firstTokenByOrganisation() {
    return firstTokenByOrganisation;
  }

  /**
   * Returns the times of whole answers.
   *
   * @return histograms in milliseconds by class
   */
  public Map<String, Histogram> duration() {
    return duration;
  }

  /**
   * Returns the times from requests to the news that they were not run.
   *
   * @return a histogram in milliseconds
   */
  public Histogram refusalTime() {
    return refusalTime;
  }

  /**
   * Returns the intervals between tokens.
   *
   * @return a histogram in milliseconds
   */
  public Histogram tokenInterval() {
    return tokenInterval;
  }

  /**
   * Returns how often attempts were refused.
   *
   * @return counts by kind
   */
  public Map<RefusalKind, Integer> refusals() {
    return refusals;
  }

  /**
   * Returns the prompts of answered requests.
   *
   * @return the prompts in the order in which the answers ended
   */
  public List<PromptSample> prompts() {
    return prompts;
  }

  /**
   * Returns the loads of the engines over time.
   *
   * @return the samples in order
   */
  public List<LoadSample> samples() {
    return samples;
  }

  /**
   * Counts the requests.
   *
   * @return how many there were
   */
  public int requests() {
    return requests;
  }

  /**
   * Counts the requests that were answered.
   *
   * @return how many ran to their ends
   */
  public int ran() {
    return ran;
  }

  /**
   * Counts the answers that came too late.
   *
   * @return how many had their first token or end after it was due
   */
  public int late() {
    return late;
  }

  /**
   * Counts the requests that were not run.
   *
   * @return how many
   */
  public int notRun() {
    return notRun;
  }

  /**
   * Counts the requests whose end nobody knows.
   *
   * @return how many
   */
  public int unknown() {
    return unknown;
  }

  /**
   * Tells how many attempts were started for each request that was answered or unknown.
   *
   * @return one if none was started in vain
   */
  public double amplification() {
    return starts / (double) Math.max(1, ran + unknown);
  }

  /**
   * Tells how much of what an unlimited cache that knows everything would have had was cached.
   *
   * @return a share from 0 to 1
   */
  public double reuse() {
    return cachedTokens / (double) Math.max(1, cacheableTokens);
  }

  /**
   * Tells how much of the engines' work was for nothing.
   *
   * @return a share from 0 to 1
   */
  public double waste() {
    return wastedTokens / (double) Math.max(1, workTokens);
  }

  /**
   * Tells for how long slots were busy with answers that came in time.
   *
   * @param startMs the start of the time to look at, in milliseconds since the start of the trace
   * @param endMs its end
   * @return milliseconds, summed over slots
   */
  public long usefulSlotMs(final long startMs, final long endMs) {
    long sumMs = 0;
    for (final UsefulTime time : usefulTimes) {
      sumMs += Math.max(0, Math.min(endMs, time.endMs()) - Math.max(startMs, time.startMs()));
    }
    return sumMs;
  }

  /**
   * Merges the histograms of all classes.
   *
   * @param histograms the histograms by class
   * @return one histogram
   */
  public static Histogram merged(final Map<String, Histogram> histograms) {
    final Histogram all = new Histogram(MAXIMUM_MS, DIGITS);
    histograms.values().forEach(all::add);
    return all;
  }

  /**
   * Says when a slot was busy.
   *
   * @param startMs since when, in milliseconds since the start of the trace
   * @param endMs until when
   */
  private record UsefulTime(long startMs, long endMs) {}
}
