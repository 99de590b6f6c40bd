package org.bulrushweir.delivery;

/** What a sidecar says when it is asked to resume an attempt. */
public enum ResumeAnswer {
  /** Parts follow. */
  RESUMED,
  /** The sidecar has never seen the attempt and will refuse it. */
  NEVER_SEEN,
  /** The attempt may have run, but nothing of it is left. */
  LOST
}
