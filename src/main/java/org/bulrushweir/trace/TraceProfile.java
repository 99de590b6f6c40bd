package org.bulrushweir.trace;

import java.util.List;

/**
 * Describes the traffic of a user, from which traces are generated.
 *
 * @param organisations the organisations, the large ones first
 * @param largeShare the share of the traffic that the large organisations have
 * @param largeOrganisations how many of the organisations are large
 * @param durationMs how long the trace lasts
 * @param chatsPerSecond how many chats begin in a second at the usual demand
 * @param turnsPerChat how many requests a chat has in the mean
 * @param pauseMs the median pause between requests of a chat
 * @param classes the classes of work
 * @param stragglerShare the share of requests whose answers are much longer
 * @param stragglerFactor how many times longer they are
 * @param crest the swing of demand
 */
public record TraceProfile(
    List<String> organisations,
    double largeShare,
    int largeOrganisations,
    long durationMs,
    double chatsPerSecond,
    double turnsPerChat,
    double pauseMs,
    List<ClassProfile> classes,
    double stragglerShare,
    double stragglerFactor,
    Crest crest) {

  /**
   * Describes the traffic of a class of work.
   *
   * @param name the class's name
   * @param share its share of the chats
   * @param firstPromptTokens the median tokens of a chat's first prompt
   * @param turnTokens the median tokens that a caller adds with each request
   * @param outputTokens the median tokens of an answer
   */
  public record ClassProfile(
      String name, double share, int firstPromptTokens, int turnTokens, int outputTokens) {}

  /**
   * Describes a swing of demand.
   *
   * @param startMs when it starts
   * @param durationMs how long it lasts
   * @param factor how many times the usual demand there is
   */
  public record Crest(long startMs, long durationMs, double factor) {

    /** No swing at all. */
    public static final Crest NONE = new Crest(0, 0, 1);

    /**
     * Tells how high the demand is.
     *
     * @param timeMs when
     * @return how many times the usual demand
     */
    double factorAt(final long timeMs) {
      final boolean within = timeMs >= startMs && timeMs < startMs + durationMs;
      return within ? factor : 1;
    }
  }

  /**
   * Returns the same traffic with another swing of demand.
   *
   * @param newCrest the swing
   * @return the profile
   */
  public TraceProfile withCrest(final Crest newCrest) {
    return new TraceProfile(
        organisations,
        largeShare,
        largeOrganisations,
        durationMs,
        chatsPerSecond,
        turnsPerChat,
        pauseMs,
        classes,
        stragglerShare,
        stragglerFactor,
        newCrest);
  }

  /**
   * Returns the same traffic of other organisations.
   *
   * @param names the organisations, the large ones first
   * @param newLargeOrganisations how many of them are large
   * @param newLargeShare the share of the traffic that the large ones have
   * @return the profile
   */
  public TraceProfile withOrganisations(
      final List<String> names, final int newLargeOrganisations, final double newLargeShare) {
    return new TraceProfile(
        names,
        newLargeShare,
        newLargeOrganisations,
        durationMs,
        chatsPerSecond,
        turnsPerChat,
        pauseMs,
        classes,
        stragglerShare,
        stragglerFactor,
        crest);
  }

  /**
   * Returns the same traffic at another demand.
   *
   * @param newChatsPerSecond how many chats begin in a second
   * @return the profile
   */
  public TraceProfile withChatsPerSecond(final double newChatsPerSecond) {
    return new TraceProfile(
        organisations,
        largeShare,
        largeOrganisations,
        durationMs,
        newChatsPerSecond,
        turnsPerChat,
        pauseMs,
        classes,
        stragglerShare,
        stragglerFactor,
        crest);
  }
}
