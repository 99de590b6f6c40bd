package org.bulrushweir.sidecar;

import org.bulrushweir.delivery.RefusalKind;
import org.bulrushweir.wire.generated.RefusalReason;

/** Converts refusal kinds to and from their wire format. */
public final class Refusals {

  private Refusals() {}

  /**
   * Converts a refusal kind to the wire format.
   *
   * @param kind the refusal kind
   * @return the reason on the wire; kinds without a reason of their own become ENDPOINT_DOWN
   */
  public static RefusalReason toWire(final RefusalKind kind) {
    return switch (kind) {
      case OVERLOADED -> RefusalReason.OVERLOADED;
      case LEAVING -> RefusalReason.LEAVING;
      case WRONG_INCARNATION -> RefusalReason.WRONG_INCARNATION;
      case DEADLINE_UNREACHABLE -> RefusalReason.DEADLINE_UNREACHABLE;
      case CANCELLED -> RefusalReason.CANCELLED;
      case DUPLICATE -> RefusalReason.DUPLICATE;
      case MODEL_NOT_LOADED -> RefusalReason.MODEL_NOT_LOADED;
      case CLAIM_UNAVAILABLE -> RefusalReason.CLAIM_UNAVAILABLE;
      case CLAIM_CONFLICT -> RefusalReason.CLAIM_CONFLICT;
      case ENDPOINT_DOWN, UNREACHABLE, NO_ENDPOINT -> RefusalReason.ENDPOINT_DOWN;
      case BAD_REQUEST -> RefusalReason.BAD_REQUEST;
      case MOVED -> RefusalReason.MOVED;
      case RATE_LIMITED -> RefusalReason.RATE_LIMITED;
      case NOT_READY -> RefusalReason.NOT_READY;
    };
  }

  /**
   * Converts a reason from the wire format.
   *
   * @param reason the reason on the wire
   * @return the refusal kind; ENDPOINT_DOWN for an unknown reason
   */
  public static RefusalKind fromWire(final RefusalReason reason) {
    return switch (reason) {
      case OVERLOADED -> RefusalKind.OVERLOADED;
      case LEAVING -> RefusalKind.LEAVING;
      case WRONG_INCARNATION -> RefusalKind.WRONG_INCARNATION;
      case DEADLINE_UNREACHABLE -> RefusalKind.DEADLINE_UNREACHABLE;
      case CANCELLED -> RefusalKind.CANCELLED;
      case DUPLICATE -> RefusalKind.DUPLICATE;
      case MODEL_NOT_LOADED -> RefusalKind.MODEL_NOT_LOADED;
      case CLAIM_UNAVAILABLE -> RefusalKind.CLAIM_UNAVAILABLE;
      case CLAIM_CONFLICT -> RefusalKind.CLAIM_CONFLICT;
      case BAD_REQUEST -> RefusalKind.BAD_REQUEST;
      case MOVED -> RefusalKind.MOVED;
      case RATE_LIMITED -> RefusalKind.RATE_LIMITED;
      case NOT_READY -> RefusalKind.NOT_READY;
      default -> RefusalKind.ENDPOINT_DOWN;
    };
  }
}
