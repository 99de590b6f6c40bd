package org.bulrushweir.sidecar;

/** How far an attempt has come at the sidecar. */
enum RunState {
  /** It waits for a slot. */
  QUEUED,
  /** It runs at the endpoint. */
  RUNNING,
  /** It ran, wholly or in part. */
  ENDED,
  /** It was not run and never will be. */
  REFUSED
}
