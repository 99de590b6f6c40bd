package org.bulrushweir.soak;

/** What a step of a soak does. */
enum Fault {
  /** A gateway gets SIGTERM and is started again when it has ended. */
  GATEWAY_STOP,
  /** A gateway gets SIGKILL and is started again. */
  GATEWAY_KILL,
  /** A gateway gets SIGSTOP, and SIGCONT later. */
  GATEWAY_PAUSE,
  /** A gateway gets SIGHUP. */
  GATEWAY_HANGUP,
  /** The link to an endpoint misbehaves for a while. */
  ENDPOINT_LINK,
  /** An endpoint crashes and starts again, under its id or a new one. */
  ENDPOINT_CRASH,
  /** An endpoint leaves, announced or not, and starts again under a new id. */
  ENDPOINT_LEAVE,
  /** An endpoint misbehaves for a while. */
  ENDPOINT_MODE,
  /** An endpoint repeats answers for a while. */
  ENDPOINT_STUTTER,
  /** The link of a gateway to the store misbehaves for a while. */
  STORE_LINK,
  /** The store refuses all calls for a while. */
  STORE_OUTAGE,
  /** The store answers late for a while. */
  STORE_SLOW,
  /** The store performs calls and never answers them. */
  STORE_LOST_ANSWERS,
  /** The operator writes a new configuration. */
  CONFIGURATION
}
