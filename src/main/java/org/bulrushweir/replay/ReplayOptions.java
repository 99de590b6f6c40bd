package org.bulrushweir.replay;

import org.bulrushweir.declaration.Declaration;
import org.bulrushweir.declaration.ServiceDeclaration;

/**
 * Sets up a replay.
 *
 * @param declaration what operators declare
 * @param service the service that answers the chats of the trace
 * @param endpoints how many engines there are at the start
 * @param routers how many routers there are
 * @param delayMs how long a message takes one way, in milliseconds
 * @param listLagMs by how many milliseconds the list of VMs lags
 * @param reportLagMs by how many milliseconds the engines' own load reports lag
 * @param hintShare the share of callers that send back where their last answer came from
 * @param estimateFactor by which factor the expected length of answers is off
 * @param engine how fast an engine is
 * @param seed decides everything that is random
 */
public record ReplayOptions(
    Declaration declaration,
    ServiceDeclaration service,
    int endpoints,
    int routers,
    long delayMs,
    long listLagMs,
    long reportLagMs,
    double hintShare,
    double estimateFactor,
    EngineSpeed engine,
    long seed) {

  /**
   * Describes how fast an engine is.
   *
   * @param stepMs how long a step with one running answer takes, in milliseconds
   * @param stepGrowth by which share each further running answer lengthens a step
   * @param prefillTokensPerMs how many prompt tokens are read in a millisecond
   * @param prefillTokensPerStep how many prompt tokens are read in a step at the most
   * @param cacheTokens how many tokens the prefix cache holds
   */
  public record EngineSpeed(
      double stepMs,
      double stepGrowth,
      double prefillTokensPerMs,
      int prefillTokensPerStep,
      long cacheTokens) {

    /** A small model on one accelerator. */
    public static final EngineSpeed DEFAULT = new EngineSpeed(20, 0.01, 8, 512, 400_000);

    /**
     * Returns the same engine with another cache.
     *
     * @param tokens how many tokens it holds
     * @return the engine
     */
    public EngineSpeed withCacheTokens(final long tokens) {
      return new EngineSpeed(stepMs, stepGrowth, prefillTokensPerMs, prefillTokensPerStep, tokens);
    }
  }
}
