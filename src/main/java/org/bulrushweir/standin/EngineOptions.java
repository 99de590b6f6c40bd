package org.bulrushweir.standin;

import java.util.List;
import org.bulrushweir.engine.EngineProtocol;

/**
 * Sets up an engine stand-in.
 *
 * @param slots how many requests are generated at once
 * @param cacheBlocks how many blocks the prefix cache holds
 * @param stepMs how long the generation of one token for all slots takes, in milliseconds
 * @param prefillTokensPerStep how many prompt tokens a slot reads in a step
 * @param loadLagMs by how many milliseconds load reports lag
 * @param eventLagMs by how many milliseconds cache events lag
 * @param eventLossRate the share of cache events that are lost
 * @param checksFencing whether orders with old fencing tokens are refused
 * @param loadMs how long loading a model takes, in milliseconds
 * @param models the models that are loaded at the start
 */
public record EngineOptions(
    int slots,
    int cacheBlocks,
    long stepMs,
    int prefillTokensPerStep,
    long loadLagMs,
    long eventLagMs,
    double eventLossRate,
    boolean checksFencing,
    long loadMs,
    List<EngineProtocol.LoadedModel> models) {

  /** Small and fast, for tests and the demo; no model is loaded. */
  public static final EngineOptions DEFAULT =
      new EngineOptions(8, 4_096, 5, 64, 1_000, 1_000, 0.1, true, 50, List.of());

  /**
   * Returns the same options with models that are loaded at the start.
   *
   * @param loaded the models
   * @return the new options
   */
  public EngineOptions withModels(final List<EngineProtocol.LoadedModel> loaded) {
    return new EngineOptions(
        slots,
        cacheBlocks,
        stepMs,
        prefillTokensPerStep,
        loadLagMs,
        eventLagMs,
        eventLossRate,
        checksFencing,
        loadMs,
        loaded);
  }
}
