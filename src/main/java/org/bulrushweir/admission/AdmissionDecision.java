package org.bulrushweir.admission;

import org.bulrushweir.api.EndpointId;
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
   * @param movedTo where the chat's cache is, null if unknown
   */
  record Refused(RefusalKind kind, long retryAfterMs, EndpointId movedTo)
      implements AdmissionDecision {}
}
