package org.bulrushweir.delivery;

/** A sidecar's answer to the request to resume an attempt. */
public enum ResumeAnswer {
  /** The missing parts will be sent. */
  RESUMED,
  /** The attempt has not reached the sidecar, which will refuse it if it arrives later. */
  NEVER_SEEN,
  /** The attempt may have run, but its answer is no longer available. */
  LOST
}
