package org.bulrushweir.gateway;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.bulrushweir.api.Clock;
import org.bulrushweir.balancing.PromptSegment;
import org.bulrushweir.catalog.EndpointRecord;
import org.bulrushweir.quarantine.EndpointRun;
import org.bulrushweir.quarantine.PromptQuarantine;

/**
 * Tells crashes of endpoints from broken connections. When attempts break off as the endpoint
 * begins to answer, it opens a connection: a refusal shows that the process has ended.
 *
 * <p>Confined to the event loop.
 */
final class CrashDetector {

  private final Map<EndpointRecord, List<List<PromptSegment>>> unconfirmed = new HashMap<>();
  private final ConnectionPool pool;
  private final PromptQuarantine quarantine;
  private final Clock clock;

  /**
   * Creates a detector.
   *
   * @param pool opens connections
   * @param quarantine receives the crashes
   * @param clock the process's clock
   */
  CrashDetector(final ConnectionPool pool, final PromptQuarantine quarantine, final Clock clock) {
    this.pool = pool;
    this.quarantine = quarantine;
    this.clock = clock;
  }

  /**
   * Records that an attempt broke off before or shortly after the endpoint started to respond.
   *
   * @param endpoint the endpoint
   * @param prompt the prompt of the request
   */
  void attemptBroken(final EndpointRecord endpoint, final List<PromptSegment> prompt) {
    final List<List<PromptSegment>> prompts = unconfirmed.get(endpoint);
    if (prompts != null) {
      prompts.add(prompt);
      return;
    }
    final List<List<PromptSegment>> added = new ArrayList<>(List.of(prompt));
    unconfirmed.put(endpoint, added);
    pool.checkEnded(endpoint, ended -> checked(endpoint, ended));
  }

  private void checked(final EndpointRecord endpoint, final boolean ended) {
    final List<List<PromptSegment>> prompts = unconfirmed.remove(endpoint);
    if (ended) {
      quarantine.recordCrash(
          new EndpointRun(endpoint.id(), endpoint.startedAtMs()), prompts, clock.nowMs());
    }
  }
}
