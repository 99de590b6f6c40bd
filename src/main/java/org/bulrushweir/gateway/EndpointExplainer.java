package org.bulrushweir.gateway;

import java.util.List;
import java.util.Set;
import java.util.function.LongUnaryOperator;
import java.util.stream.Collectors;
import org.bulrushweir.api.EndpointId;
import org.bulrushweir.balancing.EndpointExplanation;
import org.bulrushweir.catalog.EndpointDirectory;
import org.bulrushweir.catalog.EndpointRecord;
import org.bulrushweir.catalog.EvacuatedZones;
import org.bulrushweir.coldstart.ColdBudget;

/** Explains the selection of an endpoint for a request. */
final class EndpointExplainer {

  /** The number of endpoints that are explained. */
  private static final int MAX_ENDPOINTS = 5;

  private final EndpointDirectory directory;
  private final AttemptPlanner planner;
  private final EvacuatedZones zones;
  private final ColdBudget coldBudget;
  private final LongUnaryOperator registrationsAgeMs;

  /**
   * Creates an explainer.
   *
   * @param directory lists the registered endpoints
   * @param planner selects endpoints
   * @param zones the evacuated zones
   * @param coldBudget limits the requests to cold endpoints
   * @param registrationsAgeMs returns the age of the registrations at a time, in milliseconds
   */
  EndpointExplainer(
      final EndpointDirectory directory,
      final AttemptPlanner planner,
      final EvacuatedZones zones,
      final ColdBudget coldBudget,
      final LongUnaryOperator registrationsAgeMs) {
    this.directory = directory;
    this.planner = planner;
    this.zones = zones;
    this.coldBudget = coldBudget;
    this.registrationsAgeMs = registrationsAgeMs;
  }

  /**
   * Writes which endpoint would be selected, and why.
   *
   * @param routed the request
   * @param writer receives the explanation
   * @param nowMs the current time, in Unix milliseconds
   */
  void explain(final RoutedRequest routed, final ExplanationWriter writer, final long nowMs) {
    final List<EndpointExplanation> candidates = planner.explain(routed, nowMs);
    writer.selection(
        candidates.stream().findFirst().filter(EndpointExplanation::isSelectable),
        registrationsAgeMs.applyAsLong(nowMs));
    candidates.stream()
        .limit(MAX_ENDPOINTS)
        .forEach(each -> writer.candidate(each, coldBudget.coldForMs(each.endpoint(), nowMs)));
    final Set<EndpointId> listed =
        candidates.stream().map(each -> each.endpoint().id()).collect(Collectors.toSet());
    for (final EndpointRecord endpoint : directory.endpoints(routed.service())) {
      if (!listed.contains(endpoint.id())) {
        writer.unusable(reason(endpoint, nowMs));
      }
    }
  }

  private String reason(final EndpointRecord endpoint, final long nowMs) {
    if (endpoint.draining()) {
      return "draining";
    }
    return zones.accepts(endpoint, nowMs) ? "cold" : "evacuated";
  }
}
