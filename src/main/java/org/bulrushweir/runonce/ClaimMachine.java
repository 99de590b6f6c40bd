package org.bulrushweir.runonce;

import java.util.List;
import org.bulrushweir.delivery.RefusalKind;

/**
 * State machine of one non-idempotent request with an idempotency key, from its claim to its stored
 * outcome. Not thread-safe.
 *
 * <p>The request runs only after the row in the platform's store is known to have this state
 * machine's nonce, and a row is claimed again only after its holder has released it; claims do not
 * expire. So of all state machines that share a key at most one runs the request, even if answers
 * of the store are lost and processes are paused.
 */
public final class ClaimMachine {

  /** Delay before the row is read again until the key is claimed, in milliseconds. */
  private static final long POLL_INTERVAL_MS = 100;

  /** Delay before a retry of storing the final row after a failure, in milliseconds. */
  private static final long SETTLE_RETRY_MS = 500;

  /** Phase of the state machine. */
  private enum Phase {
    CLAIMING,
    WAITING_FOR_HOLDER,
    RUNNING,
    SETTLING,
    FINISHED
  }

  private final ClaimRow claim;
  private final long startByMs;
  private Phase phase = Phase.CLAIMING;
  private boolean mayBeWritten;
  private ClaimRow finalRow;
  private long version;

  /**
   * Creates a state machine.
   *
   * @param claim the row that claims the key; its nonce must be unique
   * @param startByMs the latest time at which the request may be started, in milliseconds of the
   *     sidecar's clock
   */
  public ClaimMachine(final ClaimRow claim, final long startByMs) {
    this.claim = claim;
    this.startByMs = startByMs;
  }

  /**
   * Starts with the attempt to claim the key.
   *
   * @return the actions to carry out, in order
   */
  public List<ClaimAction> start() {
    return List.of(new ClaimAction.Write(claim, 0));
  }

  /**
   * Returns whether the state machine needs no further events.
   *
   * @return true once the last actions have been returned
   */
  public boolean isFinished() {
    return phase == Phase.FINISHED;
  }

  /**
   * Processes an event.
   *
   * @param event the event
   * @param nowMs the current time of the sidecar's clock, in milliseconds
   * @return the actions to carry out, in order
   */
  public List<ClaimAction> on(final ClaimEvent event, final long nowMs) {
    return switch (event) {
      case ClaimEvent.Written written -> written(written.version(), nowMs);
      case ClaimEvent.Found found -> found(found.row(), found.version(), nowMs);
      case ClaimEvent.StoreFailed failed -> storeFailed(failed.effectPossible(), nowMs);
      case ClaimEvent.Ran ran -> storeResult(ClaimState.DONE, ran.outcome());
      case ClaimEvent.NotRun notRun -> storeResult(ClaimState.RELEASED, null);
      case ClaimEvent.MayHaveRun mayHaveRun -> storeResult(ClaimState.UNKNOWN, null);
      case ClaimEvent.WaitElapsed waited -> waited();
    };
  }

  private List<ClaimAction> written(final long newVersion, final long nowMs) {
    version = newVersion;
    if (phase == Phase.SETTLING) {
      phase = Phase.FINISHED;
      return List.of();
    }
    return run(nowMs);
  }

  /** Runs the request, unless claiming took so long that its deadline has passed. */
  private List<ClaimAction> run(final long nowMs) {
    if (nowMs >= startByMs) {
      return refuseAndRelease(RefusalKind.DEADLINE_UNREACHABLE);
    }
    phase = Phase.RUNNING;
    return List.of(new ClaimAction.Run());
  }

  private List<ClaimAction> refuseAndRelease(final RefusalKind kind) {
    finalRow = claim.withResult(ClaimState.RELEASED, null);
    phase = Phase.SETTLING;
    return List.of(new ClaimAction.Refuse(kind), new ClaimAction.Read());
  }

  private List<ClaimAction> found(final ClaimRow row, final long foundVersion, final long nowMs) {
    final boolean own = row != null && row.nonce().equals(claim.nonce());
    if (phase == Phase.SETTLING) {
      return foundWhileSettling(own, row, foundVersion);
    }
    if (own) {
      version = foundVersion;
      return run(nowMs);
    }
    if (row == null || row.state() == ClaimState.RELEASED) {
      return List.of(new ClaimAction.Write(claim, foundVersion));
    }
    if (!row.requestDigest().equals(claim.requestDigest())) {
      phase = Phase.FINISHED;
      return List.of(new ClaimAction.Refuse(RefusalKind.CLAIM_CONFLICT));
    }
    return switch (row.state()) {
      case DONE -> {
        phase = Phase.FINISHED;
        yield List.of(new ClaimAction.Replay(row.outcome()));
      }
      case CLAIMED -> waitForHolder(row, nowMs);
      default -> replyUnknown("the first request with this key may have run");
    };
  }

  private List<ClaimAction> waitForHolder(final ClaimRow row, final long nowMs) {
    final boolean holderRestarted =
        row.endpoint().equals(claim.endpoint()) && row.incarnation() < claim.incarnation();
    if (holderRestarted) {
      return replyUnknown("the endpoint was replaced while it ran the request");
    }
    if (nowMs >= startByMs) {
      return replyUnknown("another request with this key is still running");
    }
    phase = Phase.WAITING_FOR_HOLDER;
    return List.of(new ClaimAction.Wait(POLL_INTERVAL_MS));
  }

  private List<ClaimAction> replyUnknown(final String detail) {
    phase = Phase.FINISHED;
    return List.of(new ClaimAction.ReplyUnknown(detail));
  }

  private List<ClaimAction> foundWhileSettling(
      final boolean own, final ClaimRow row, final long foundVersion) {
    if (row == null) {
      // Prevents an earlier write that is still in flight from taking effect later.
      return List.of(new ClaimAction.Write(finalRow, 0));
    }
    final boolean needed = own && row.state() == ClaimState.CLAIMED;
    if (!needed) {
      phase = Phase.FINISHED;
      return List.of();
    }
    version = foundVersion;
    return List.of(new ClaimAction.Write(finalRow, version));
  }

  private List<ClaimAction> storeFailed(final boolean effectPossible, final long nowMs) {
    switch (phase) {
      case CLAIMING -> {
        mayBeWritten |= effectPossible;
        if (nowMs < startByMs) {
          return List.of(new ClaimAction.Wait(POLL_INTERVAL_MS));
        }
        if (mayBeWritten) {
          return refuseAndRelease(RefusalKind.CLAIM_UNAVAILABLE);
        }
        phase = Phase.FINISHED;
        return List.of(new ClaimAction.Refuse(RefusalKind.CLAIM_UNAVAILABLE));
      }
      case WAITING_FOR_HOLDER -> {
        if (nowMs < startByMs) {
          return List.of(new ClaimAction.Wait(POLL_INTERVAL_MS));
        }
        return replyUnknown("another request with this key may be running");
      }
      case SETTLING -> {
        return List.of(new ClaimAction.Wait(SETTLE_RETRY_MS));
      }
      default -> {
        return List.of();
      }
    }
  }

  private List<ClaimAction> waited() {
    return phase == Phase.FINISHED ? List.of() : List.of(new ClaimAction.Read());
  }

  private List<ClaimAction> storeResult(final ClaimState state, final ClaimOutcome outcome) {
    finalRow = claim.withResult(state, outcome);
    phase = Phase.SETTLING;
    return List.of(new ClaimAction.Write(finalRow, version));
  }
}
