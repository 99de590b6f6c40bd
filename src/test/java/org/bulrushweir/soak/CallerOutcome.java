package org.bulrushweir.soak;

/**
 * What a caller got.
 *
 * @param end how the answer ended
 * @param status the status; zero if none came
 * @param seal the mark of the endpoint; empty if there is none
 * @param body what came of the body
 * @param endedAtMs when it ended
 */
record CallerOutcome(End end, int status, String seal, String body, long endedAtMs) {

  /** How an answer ends. */
  enum End {
    /** It looks complete. */
    COMPLETE,
    /** The connection was closed before it was complete. */
    CLOSED,
    /** Nothing came for too long. */
    SILENT,
    /** The caller left. */
    LEFT,
    /** What came is no answer. */
    MALFORMED
  }
}
