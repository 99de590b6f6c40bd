package org.bulrushweir.gateway;

import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.LongStream;
import org.bulrushweir.api.ServiceName;
import org.bulrushweir.demo.DemoCall;
import org.bulrushweir.demo.DemoFleet;

/** Kinds of requests whose answers are cut off, on the routes of the example configuration. */
enum CutOffCall {
  /** A call that may run once. */
  UNSAFE("POST", "/book/1", DemoFleet.ORDERS, false),
  /** A call that may be repeated. */
  SAFE("GET", "/look/1", DemoFleet.ORDERS, true),
  /** The same without a body in the answer. */
  HEAD("HEAD", "/look/1", DemoFleet.ORDERS, true),
  /** A stream that may not be resumed. */
  STREAM("POST", "/review/1", DemoFleet.ASSISTANT, false),
  /** A stream that may be resumed. */
  RESUMABLE("POST", "/draft/1", DemoFleet.ASSISTANT, true),
  /** A stream that has broken off once; the answer of the next endpoint is cut off. */
  RESUMED("POST", "/draft/1", DemoFleet.ASSISTANT, false),
  /** A stream that its caller resumes. */
  CONTINUED("POST", "/draft/1", DemoFleet.ASSISTANT, true);

  /** How long callers wait, in milliseconds. */
  static final long DEADLINE_MS = 1_000;

  private static final long EVENTS = 4;
  private static final long CALLERS_LAST_EVENT = 1;

  private final String method;
  private final String path;
  private final ServiceName service;
  private final boolean repeatable;

  CutOffCall(
      final String method, final String path, final ServiceName service, final boolean repeatable) {
    this.method = method;
    this.path = path;
    this.service = service;
    this.repeatable = repeatable;
  }

  ServiceName service() {
    return service;
  }

  /** Returns whether another endpoint may answer after the answer that is cut off. */
  boolean isRepeatable() {
    return repeatable;
  }

  /** Returns whether the request must not run more than once. */
  boolean runsOnce() {
    return this == UNSAFE || this == STREAM;
  }

  boolean isStream() {
    return service.equals(DemoFleet.ASSISTANT);
  }

  boolean isToHead() {
    return "HEAD".equals(method);
  }

  /** Returns the last event that the caller has, negative if there is none. */
  long lastEvent() {
    return this == CONTINUED ? CALLERS_LAST_EVENT : -1;
  }

  /** Returns the bytes of a request. */
  String request(final String id) {
    return method
        + " "
        + path
        + " HTTP/1.1\r\nHost: "
        + (isStream() ? DemoCall.CHAT_HOST : DemoCall.ORDER_HOST)
        + "\r\nX-Request-Id: "
        + id
        + "\r\nAuthorization: Bearer "
        + DemoCall.KEY
        + "\r\nX-Deadline-Ms: "
        + DEADLINE_MS
        + (lastEvent() < 0 ? "" : "\r\nLast-Event-Id: " + lastEvent())
        + "\r\nContent-Length: 0\r\n\r\n";
  }

  /** Returns the events of the stream after one and up to another one. */
  static String events(final long after, final long last) {
    final Function<Long, String> event = number -> "id: " + number + "\ndata: e\n\n";
    return LongStream.rangeClosed(after + 1, last).boxed().map(event).collect(Collectors.joining());
  }

  /** Returns the events of the stream after one. */
  static String events(final long after) {
    return events(after, EVENTS - 1);
  }
}
