package org.bulrushweir.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Checks the events of a stream that a caller got. */
final class EventCheck {

  private static final Pattern EVENT =
      Pattern.compile("id: (\\d+)\ndata: part (\\d+) of (\\S+) by (\\S+)\n\n");

  private final CallerRequest request;
  private final List<EndpointRun> runs;

  EventCheck(final CallerRequest request, final List<EndpointRun> runs) {
    this.request = request;
    this.runs = runs;
  }

  /**
   * Writes an event.
   *
   * @param number its number
   * @param request the request that it answers
   * @param run the name of the run that made it
   * @return the text
   */
  static String event(final int number, final CallerRequest request, final String run) {
    return "id: "
        + number
        + "\ndata: part "
        + number
        + " of "
        + request.id()
        + " by "
        + run
        + "\n\n";
  }

  /** Tells whether a stream has all of its events. */
  static boolean isWhole(final CallerRequest request, final String body) {
    return body.endsWith("\n\n") && EVENT.matcher(body).results().count() == request.events();
  }

  /**
   * Looks for events that are missing, foreign or out of order.
   *
   * @param body what came of the stream; its last event may be cut off
   * @return what was found, empty if all is well
   */
  String find(final String body) {
    final Matcher matcher = EVENT.matcher(body);
    final List<String> names = new ArrayList<>();
    int position = 0;
    int next = 0;
    while (matcher.find()) {
      if (matcher.start() != position) {
        return "bytes between events: " + body.substring(position, matcher.start());
      }
      if (!matcher.group(1).equals(Integer.toString(next)) || !isOwn(matcher)) {
        return "event " + next + " expected, but got " + matcher.group();
      }
      if (!names.contains(matcher.group(4))) {
        names.add(matcher.group(4));
      }
      position = matcher.end();
      next++;
    }
    if (names.size() > 1 && request.traffic() != Traffic.DRAFT) {
      return "joined of " + names;
    }
    return findInRest(body.substring(position), next);
  }

  private boolean isOwn(final Matcher matcher) {
    return matcher.group(1).equals(matcher.group(2))
        && matcher.group(3).equals(request.id())
        && runs.stream().anyMatch(run -> run.name().equals(matcher.group(4)));
  }

  private String findInRest(final String rest, final int next) {
    final boolean known =
        runs.stream().anyMatch(run -> event(next, request, run.name()).startsWith(rest));
    return rest.isEmpty() || known ? "" : "no part of event " + next + ": " + rest;
  }
}
