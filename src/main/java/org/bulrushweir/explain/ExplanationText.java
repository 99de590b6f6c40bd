package org.bulrushweir.explain;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Collectors;

/** Formats an explanation for people. */
public final class ExplanationText {

  /** The columns of costs: their titles and the fields of the terms. */
  private static final List<List<String>> TERMS =
      List.of(
          List.of("WORK", "work"),
          List.of("TRANSFER", "transfer"),
          List.of("BACKLOG", "backlog"),
          List.of("RUNNING", "running"),
          List.of("OWNER", "hash_owner"),
          List.of("PACE", "pace"),
          List.of("ZONE", "zone"),
          List.of("SPREAD", "spread"),
          List.of("BOUND", "over_bound"));

  /** The columns of what the costs rest on: their titles and the fields of a candidate. */
  private static final List<List<String>> BASIS =
      List.of(
          List.of("CACHED", "cached_tokens"),
          List.of("FETCHED", "transferred_tokens"),
          List.of("IN-FLIGHT", "in_flight"),
          List.of("OWN", "own_in_flight"),
          List.of("SLOTS", "slots"),
          List.of("PACE", "pace"),
          List.of("HELD-OFF", "held_off_ms"),
          List.of("COLD", "cold_ms"),
          List.of("SENT-AGO", "own_send_age_ms"),
          List.of("PEERS-AGO", "peer_report_age_ms"),
          List.of("PACE-AGO", "stated_pace_age_ms"));

  private static final String ENDPOINT = "endpoint";
  private static final String DECISION = "decision";
  private static final String UNKNOWN = "-";

  private ExplanationText() {}

  /**
   * Formats an explanation.
   *
   * @param explanation the explanation as the gateway wrote it
   * @return the text, several lines that each end with a line feed
   */
  public static String format(final JsonNode explanation) {
    final StringBuilder text = new StringBuilder();
    final JsonNode plan = explanation.path("plan");
    line(
        text,
        "plan       version %s, confirmed %s ms ago",
        plan.path("version").asText(),
        plan.path("age_ms").asText());
    final JsonNode admission = explanation.path("admission");
    if (!admission.path("admitted").asBoolean()) {
      line(
          text,
          "admission  rejected with %s: %s%s",
          admission.path("status").asText(),
          admission.path(ExplanationFields.DETAIL).asText(),
          retryAfter(admission));
      return text.toString();
    }
    line(
        text,
        "admission  route %s, service %s, priority %s, target %s ms, deadline %s ms, %s",
        admission.path("route").asText(),
        admission.path("service").asText(),
        admission.path("priority").asText(),
        admission.path("target_ms").asText(),
        admission.path(ExplanationFields.DEADLINE_MS).asText(),
        admission.has(ExplanationFields.ORGANISATION)
            ? "organisation " + admission.path(ExplanationFields.ORGANISATION).asText()
            : "no organisation");
    appendDispatch(text, explanation.path("dispatch"));
    appendSelection(text, explanation.path("selection"));
    return text.toString();
  }

  private static void appendDispatch(final StringBuilder text, final JsonNode dispatch) {
    final String decision =
        switch (dispatch.path(DECISION).asText()) {
          case "send" -> "sent at once";
          case "wait" -> "waits, expected " + dispatch.path("expected_wait_ms").asText() + " ms";
          default -> "rejected: " + dispatch.path("reason").asText() + retryAfter(dispatch);
        };
    if (!dispatch.has("slots")) {
      line(text, "queue      %s, queueing is off", decision);
      return;
    }
    line(
        text,
        "queue      %s; %s of %s slots of %s endpoints taken, %s by this gateway; %s wait here;"
            + " gateways: %s",
        decision,
        dispatch.path("in_flight").asText(),
        dispatch.path("slots").asText(),
        dispatch.path("endpoints").asText(),
        dispatch.path("own_in_flight").asText(),
        dispatch.path("waiting_here").asText(),
        dispatch.path("gateways").asText());
  }

  private static String retryAfter(final JsonNode rejection) {
    final long delayMs = rejection.path("retry_after_ms").asLong();
    return delayMs == 0 ? "" : ", retry after " + delayMs + " ms";
  }

  private static void appendSelection(final StringBuilder text, final JsonNode selection) {
    line(
        text,
        "endpoint   %s; registrations confirmed %s ms ago",
        selection.path(ENDPOINT).isTextual() ? selection.path(ENDPOINT).asText() : "none",
        selection.path("registrations_age_ms").asText());
    final JsonNode unusable = selection.path("unusable");
    if (!unusable.isEmpty()) {
      line(
          text,
          "unusable   %s",
          unusable.properties().stream()
              .sorted(Map.Entry.comparingByKey())
              .map(entry -> entry.getValue().asText() + " " + entry.getKey())
              .collect(Collectors.joining(", ")));
    }
    final JsonNode candidates = selection.path("candidates");
    if (candidates.isEmpty()) {
      return;
    }
    text.append('\n');
    final List<List<String>> costs = new ArrayList<>();
    costs.add(header(List.of("STANDING", "ZONE", "COST"), TERMS));
    final List<List<String>> basis = new ArrayList<>();
    basis.add(header(List.of("HASH-OWNER"), BASIS));
    for (final JsonNode candidate : candidates) {
      costs.add(
          row(
              candidate,
              List.of(
                  candidate.path("standing").asText(),
                  candidate.path("zone").asText(),
                  number(candidate.path("cost"))),
              TERMS,
              candidate.path("terms")));
      basis.add(
          row(
              candidate,
              List.of(candidate.path("hash_owner").asBoolean() ? "yes" : "no"),
              BASIS,
              candidate));
    }
    appendTable(text, costs);
    text.append('\n');
    appendTable(text, basis);
  }

  private static List<String> header(final List<String> first, final List<List<String>> columns) {
    final List<String> cells = new ArrayList<>(List.of("ENDPOINT"));
    cells.addAll(first);
    columns.forEach(column -> cells.add(column.getFirst()));
    return cells;
  }

  private static List<String> row(
      final JsonNode candidate,
      final List<String> first,
      final List<List<String>> columns,
      final JsonNode values) {
    final List<String> cells = new ArrayList<>(List.of(candidate.path(ENDPOINT).asText()));
    cells.addAll(first);
    columns.forEach(column -> cells.add(number(values.path(column.getLast()))));
    return cells;
  }

  private static String number(final JsonNode value) {
    if (value.isMissingNode()) {
      return UNKNOWN;
    }
    return value.isDouble() ? String.format(Locale.ROOT, "%.2f", value.asDouble()) : value.asText();
  }

  private static void appendTable(final StringBuilder text, final List<List<String>> rows) {
    final int[] widths = new int[rows.getFirst().size()];
    for (final List<String> row : rows) {
      for (int column = 0; column < widths.length; column++) {
        widths[column] = Math.max(widths[column], row.get(column).length());
      }
    }
    for (final List<String> row : rows) {
      final StringBuilder line = new StringBuilder();
      for (int column = 0; column < widths.length; column++) {
        line.append(String.format(Locale.ROOT, "%-" + widths[column] + "s  ", row.get(column)));
      }
      text.append(line.toString().stripTrailing()).append('\n');
    }
  }

  private static void line(final StringBuilder text, final String format, final Object... values) {
    text.append(String.format(Locale.ROOT, format, values)).append('\n');
  }
}
