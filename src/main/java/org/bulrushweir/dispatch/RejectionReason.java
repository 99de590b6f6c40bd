package org.bulrushweir.dispatch;

/** Why a request is rejected for lack of capacity. */
public enum RejectionReason {
  /** Too much is ahead of it for its deadline. */
  DEADLINE,
  /** The engine with the least tokens to prefill would miss the deadline. */
  PREFILL_BACKLOG,
  /** It waited, and more urgent requests overtook it. */
  OVERTAKEN,
  /** It waited until too little time was left. */
  EXPIRED,
  /** Too many requests wait, and all of them go before it. */
  QUEUE_FULL
}
