package org.bulrushweir.router;

/** Names of the HTTP headers that callers and routers exchange. */
public final class Headers {

  /** In requests: the organisation of the caller. */
  public static final String ORGANISATION = "Bulrushweir-Organisation";

  /** In requests: the identity of the chat, an arbitrary text that the caller chooses. */
  public static final String CHAT = "Bulrushweir-Chat";

  /** In requests: the name of the work class. */
  public static final String WORK_CLASS = "Bulrushweir-Class";

  /** In requests: the time limit for the whole answer, in milliseconds. */
  public static final String DEADLINE = "Bulrushweir-Deadline-Ms";

  /**
   * In answers: the endpoint that gave the answer to a chat. Callers send it back with the next
   * request of the chat, so that the router can choose the endpoint that has the chat cached.
   */
  public static final String AFFINITY = "Bulrushweir-Affinity";

  /** In answers: the id of the request. */
  public static final String REQUEST = "Bulrushweir-Request";

  /** In answers: whether the request ran, {@code ran}, {@code not-run} or {@code unknown}. */
  public static final String RUN_STATE = "Bulrushweir-Run-State";

  /** In requests: the caller's key for a request that must not run twice. */
  public static final String IDEMPOTENCY_KEY = "Idempotency-Key";

  /** In requests: the id of the last event that the caller has received of a stream. */
  public static final String LAST_EVENT_ID = "Last-Event-ID";

  private Headers() {}
}
