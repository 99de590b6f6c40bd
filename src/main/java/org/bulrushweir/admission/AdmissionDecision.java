package org.bulrushweir.admission;

import org.bulrushweir.delivery.RefusalKind;

/** Tells whether an attempt is accepted. */
public sealed interface AdmissionDecision {

  /** The attempt is queued. */
  record Admitted() implements AdmissionDecision {}

  /**
   * The attempt is refused.
   *
   * @param kind why
   * @param retryAfterMs when another try may succeed, in milliseconds
   */
  record Refused(RefusalKind kind, long retryAfterMs) implements AdmissionDecision {}
}
