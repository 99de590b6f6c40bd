package org.bulrushweir.router;

/** The names of the HTTP headers between callers and routers. */
public final class Headers {

  /** The caller's organisation. */
  public static final String ORGANISATION = "Bulrushweir-Organisation";

  /** The caller's chat, any text of its choice. */
  public static final String CHAT = "Bulrushweir-Chat";

  /** The class of work. */
  public static final String WORK_CLASS = "Bulrushweir-Class";

  /** How long the whole answer may take, in milliseconds. */
  public static final String DEADLINE = "Bulrushweir-Deadline-Ms";

  /** Where the last answer in a chat came from; callers send back what they got. */
  public static final String AFFINITY = "Bulrushweir-Affinity";

  /** The request's id, in answers. */
  public static final String REQUEST = "Bulrushweir-Request";

  /** Whether the request ran: {@code ran}, {@code not-run} or {@code unknown}. */
  public static final String RUN_STATE = "Bulrushweir-Run-State";

  /** The caller's key for a request that must not run twice. */
  public static final String IDEMPOTENCY_KEY = "Idempotency-Key";

  /** The id of the last event that a caller has of a stream. */
  public static final String LAST_EVENT_ID = "Last-Event-ID";

  private Headers() {}
}
