package org.bulrushweir.soak;

/** The kinds of requests that callers send, each on a route of its own. */
enum Traffic {
  /** A booking, which may run once at most. */
  BOOKING("book", "unsafe", "orders"),
  /** A lookup, which may be repeated. */
  LOOKUP("look", "safe", "orders"),
  /** A lookup on a route that configurations move between services. */
  MOVED("move", "safe", "orders"),
  /** A lookup on a route, or with a key, of few configurations. */
  PROBE("", "safe", "orders"),
  /** A stream that may be resumed. */
  DRAFT("draft", "streaming", "assistant"),
  /** A stream that may not be resumed. */
  REVIEW("review", "streaming", "assistant");

  private final String route;
  private final String kind;
  private final String service;

  Traffic(final String route, final String kind, final String service) {
    this.route = route;
    this.kind = kind;
    this.service = service;
  }

  String route() {
    return route;
  }

  String kind() {
    return kind;
  }

  String service() {
    return service;
  }

  boolean isStream() {
    return this == DRAFT || this == REVIEW;
  }

  boolean isIdempotent() {
    return this != BOOKING && this != REVIEW;
  }
}
