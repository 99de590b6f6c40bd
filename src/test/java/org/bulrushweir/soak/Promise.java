package org.bulrushweir.soak;

/** What the product promises to callers, endpoints and operators, as far as the soak checks it. */
enum Promise {
  /** An answer belongs to its request and is whole. */
  OWN_ANSWER,
  /** Nothing comes on a connection on which no request waits, save a refusal. */
  NO_STRAY_BYTES,
  /** A stream has each of its events once, in order, and of one run unless it may be resumed. */
  STREAM_ORDER,
  /** What reaches an endpoint is what a caller sent, on behalf of the owner of its key. */
  UNCHANGED_REQUEST,
  /** A request that is not idempotent runs once at most. */
  RUNS_ONCE,
  /** A request that is not idempotent and was refused has not run and never runs. */
  TRUE_REFUSAL,
  /** A request that is allowed is not denied. */
  NOT_DENIED,
  /** The answer of an endpoint reaches the caller, in planned stops too. */
  NOT_LOST,
  /** A request is answered soon after the time-out of its route. */
  ANSWERED_IN_TIME,
  /** A request runs only where some configuration allows it. */
  ALLOWED_ROUTE,
  /** A configuration is in force soon after it was confirmed. */
  CONFIG_APPLIED,
  /** A process does not go back to an older configuration. */
  NO_REVERT,
  /** An endpoint that leaves gets no new work after a while. */
  DRAINED,
  /** A process runs until it is stopped, and ends in time when it is. */
  PROCESS_LIFE,
  /** The memory of a process is bounded. */
  BOUNDED_MEMORY,
  /** Requests are served again soon after the last fault. */
  RECOVERY
}
