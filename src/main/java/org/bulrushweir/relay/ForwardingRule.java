package org.bulrushweir.relay;

/**
 * Decides after each wait of a request whether it goes on. The waits are those for the event loop,
 * for the start of the process, behind an earlier request of the same connection, for the prefix of
 * a prompt, for a connection to the endpoint, and for the endpoint to take the body.
 */
public final class ForwardingRule {

  /**
   * The longest time for which a caller's connection may be unread when its request goes on, in
   * milliseconds: half of the time within which work for a caller that has left must end.
   */
  public static final long MAX_UNREAD_MS = 250;

  private ForwardingRule() {}

  /** What happens to a request after a wait. */
  public enum Verdict {
    /** The request goes on. */
    FORWARD,
    /** The caller may have left: its connection must be read first. */
    READ_CALLER,
    /** The deadline may have passed. */
    TOO_LATE
  }

  /**
   * Decides whether a request goes on.
   *
   * @param nowMs the current time, in Unix milliseconds
   * @param unreadSinceMs the time since which the caller's connection may be unread, in Unix
   *     milliseconds
   * @param deadlineMs the deadline, counted from the earliest time at which the request may have
   *     arrived, in Unix milliseconds
   * @return the verdict
   */
  public static Verdict judge(final long nowMs, final long unreadSinceMs, final long deadlineMs) {
    if (nowMs >= deadlineMs) {
      return Verdict.TOO_LATE;
    }
    return nowMs - unreadSinceMs > MAX_UNREAD_MS ? Verdict.READ_CALLER : Verdict.FORWARD;
  }
}
