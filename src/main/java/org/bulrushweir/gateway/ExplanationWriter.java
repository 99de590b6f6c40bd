package org.bulrushweir.gateway;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalLong;
import org.bulrushweir.balancing.CostTerms;
import org.bulrushweir.balancing.EndpointExplanation;
import org.bulrushweir.dispatch.DispatchDecision;
import org.bulrushweir.dispatch.ServiceLoad;
import org.bulrushweir.explain.ExplanationFields;

/** Writes an explanation as JSON. */
final class ExplanationWriter {

  private static final double THOUSANDTHS = 1_000;
  private static final String RETRY_AFTER_MS = "retry_after_ms";
  private static final String DECISION = "decision";

  private final ObjectNode root = JsonNodeFactory.instance.objectNode();

  /**
   * Creates an empty explanation.
   *
   * @param nowMs the time for which it holds, in Unix milliseconds
   */
  ExplanationWriter(final long nowMs) {
    root.put("time_ms", nowMs);
  }

  /** Returns a text that states why there is no explanation. */
  static String error(final String error, final String detail) {
    return JsonNodeFactory.instance
        .objectNode()
        .put(ExplanationFields.ERROR, error)
        .put(ExplanationFields.DETAIL, detail)
        .toString();
  }

  void plan(final long version, final long ageMs) {
    root.putObject("plan").put("version", version).put("age_ms", ageMs);
  }

  /**
   * Writes that the request is refused.
   *
   * @param rejected the refusal
   */
  void rejected(final RequestAdmission.Rejected rejected) {
    root.putObject("admission")
        .put("admitted", false)
        .put("status", rejected.status().code())
        .put(ExplanationFields.DETAIL, rejected.detail())
        .put(RETRY_AFTER_MS, rejected.retryAfterMs());
  }

  /**
   * Writes the route and the limits of the request.
   *
   * @param routed the request
   */
  void admitted(final RoutedRequest routed) {
    final ObjectNode admission =
        root.putObject("admission")
            .put("admitted", true)
            .put("route", routed.route().name())
            .put("service", routed.service().value())
            .put("priority", routed.priority())
            .put("target_ms", routed.route().latencyTargetMs())
            .put(ExplanationFields.DEADLINE_MS, routed.limits().deadlineMs() - routed.arrivedMs());
    routed
        .organisation()
        .ifPresent(name -> admission.put(ExplanationFields.ORGANISATION, name.value()));
  }

  /**
   * Writes whether the request waits.
   *
   * @param preview what would happen to it, empty if requests are sent without a queue
   */
  void dispatch(final Optional<DispatchPreview> preview) {
    final ObjectNode dispatch = root.putObject("dispatch");
    if (preview.isEmpty()) {
      dispatch.put(DECISION, "send").put(ExplanationFields.DETAIL, "queueing is off");
      return;
    }
    switch (preview.get().decision()) {
      case DispatchDecision.SendNow send -> dispatch.put(DECISION, "send");
      case DispatchDecision.Wait wait ->
          dispatch.put(DECISION, "wait").put("expected_wait_ms", wait.estimatedMs());
      case DispatchDecision.Reject reject ->
          dispatch
              .put(DECISION, "reject")
              .put("reason", reject.reason().name().toLowerCase(Locale.ROOT))
              .put(RETRY_AFTER_MS, reject.retryAfterMs())
              .put(ExplanationFields.DETAIL, reject.detail());
    }
    final ServiceLoad load = preview.get().load();
    dispatch
        .put("endpoints", load.room().endpoints())
        .put("slots", load.room().places())
        .put("in_flight", load.room().inFlight())
        .put("own_in_flight", load.ownInFlight())
        .put("gateways", load.gateways())
        .put("waiting_here", preview.get().waiting());
  }

  /**
   * Writes which endpoint would be selected.
   *
   * @param selected the endpoint, empty if there is none
   * @param registrationsAgeMs the age of the registrations, in milliseconds
   */
  void selection(final Optional<EndpointExplanation> selected, final long registrationsAgeMs) {
    final ObjectNode selection = root.putObject("selection");
    selection.put("endpoint", selected.map(it -> it.endpoint().id().value()).orElse(null));
    selection.put("registrations_age_ms", registrationsAgeMs);
    selection.putArray("candidates");
    selection.putObject("unusable");
  }

  /**
   * Adds an endpoint with its cost, after {@link #selection}.
   *
   * @param candidate the endpoint
   * @param coldForMs how long it stays cold, in milliseconds
   */
  void candidate(final EndpointExplanation candidate, final long coldForMs) {
    final CostTerms terms = candidate.terms();
    final ObjectNode node =
        root.withObject("/selection")
            .withArray("candidates")
            .addObject()
            .put("endpoint", candidate.endpoint().id().value())
            .put("zone", candidate.endpoint().zone().value())
            .put("standing", standing(candidate))
            .put("cost", rounded(terms.total()));
    node.putObject("terms")
        .put("work", rounded(terms.work()))
        .put("transfer", rounded(terms.transfer()))
        .put("backlog", rounded(terms.backlog()))
        .put("running", rounded(terms.running()))
        .put("hash_owner", rounded(terms.hashOwner()))
        .put("pace", rounded(terms.pace()))
        .put("zone", rounded(terms.zone()))
        .put("spread", rounded(terms.spread()))
        .put("over_bound", rounded(terms.overBound()));
    node.put("hash_owner", candidate.isHashOwner())
        .put("cached_tokens", candidate.cachedTokens())
        .put("transferred_tokens", candidate.transferredTokens())
        .put("in_flight", candidate.inFlight())
        .put("own_in_flight", candidate.ownInFlight())
        .put("slots", candidate.endpoint().slots())
        .put("pace", rounded(candidate.paceFactor()))
        .put("held_off_ms", candidate.heldOffForMs())
        .put("cold_ms", coldForMs);
    putAge(node, "own_send_age_ms", candidate.ownSendAgeMs());
    putAge(node, "peer_report_age_ms", candidate.peerReportAgeMs());
    putAge(node, "stated_pace_age_ms", candidate.statedPaceAgeMs());
  }

  private static String standing(final EndpointExplanation candidate) {
    return switch (candidate.standing()) {
      case USABLE -> "usable";
      case EJECTED -> "ejected";
      case HELD_OFF -> "held_off";
      // A request that has not been sent yet is kept away from cold endpoints only.
      case EXCLUDED -> "cold";
    };
  }

  /** Counts an endpoint that gets no new requests. */
  void unusable(final String reason) {
    final ObjectNode unusable = root.withObject("/selection").withObject("/unusable");
    unusable.put(reason, unusable.path(reason).asInt() + 1);
  }

  String json() {
    return root.toString();
  }

  private static void putAge(final ObjectNode node, final String name, final OptionalLong ageMs) {
    if (ageMs.isPresent()) {
      node.put(name, ageMs.getAsLong());
    }
  }

  private static double rounded(final double value) {
    return Math.round(value * THOUSANDTHS) / THOUSANDTHS;
  }
}
