package org.bulrushweir.catalog;

/**
 * The kind of the requests of a route, which decides together with {@code resumable} whether they
 * may be retried.
 */
public enum RequestKind {
  /** Idempotent: the request may run more than once. */
  SAFE,
  /** Non-idempotent: the request may run at most once. */
  UNSAFE,
  /**
   * The response is a stream of server-sent events; only resumable routes allow it to resume
   * elsewhere.
   */
  STREAM
}
