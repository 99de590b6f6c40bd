package org.bulrushweir.runonce;

import java.util.List;
import org.bulrushweir.delivery.RefusalKind;

/**
 * Brings one request that must not repeat from its claim to its stored outcome. The request runs
 * only after the row in the table is known to carry this machine's nonce, and a row that carries a
 * nonce is never claimed by another unless its holder has released it. So at most one machine of
 * those that share a key ever runs the request, whatever answers are lost and whoever is paused.
 */
public final class ClaimMachine {

  private static final long POLL_INTERVAL_MS = 100;
  private static final long STORE_INTERVAL_MS = 500;

  /** What the machine is doing. */
  private enum Phase {
    CLAIMING,
    WAITING_FOR_HOLDER,
    RUNNING,
    SETTLING,
    OVER
  }

  private final ClaimRow claim;
  private final long giveUpAtMs;
  private Phase phase = Phase.CLAIMING;
  private boolean perhapsWritten;
  private ClaimRow settled;
  private long version;

  /**
   * Creates a machine.
   *
   * @param claim the row to write; its nonce is used by no other machine
   * @param giveUpAtMs when it is too late to run the request, in milliseconds
   */
  public ClaimMachine(final ClaimRow claim, final long giveUpAtMs) {
    this.claim = claim;
    this.giveUpAtMs = giveUpAtMs;
  }

  /**
   * Starts to claim.
   *
   * @return what to do
   */
  public List<ClaimAction> start() {
    return List.of(new ClaimAction.Write(claim, 0));
  }

  /**
   * Tells whether nothing more is to be done.
   *
   * @return true if the row is settled or belongs to another
   */
  public boolean isFinished() {
    return phase == Phase.OVER;
  }

  /**
   * Takes an event.
   *
   * @param event the event
   * @param nowMs the current time
   * @return what to do
   */
  public List<ClaimAction> on(final ClaimEvent event, final long nowMs) {
    return switch (event) {
      case ClaimEvent.Written written -> written(written.version(), nowMs);
      case ClaimEvent.Found found -> found(found.row(), found.version(), nowMs);
      case ClaimEvent.TableFailed failed -> tableFailed(failed.effectPossible(), nowMs);
      case ClaimEvent.Ran ran -> settle(ClaimState.DONE, ran.outcome());
      case ClaimEvent.NotRun notRun -> settle(ClaimState.RELEASED, null);
      case ClaimEvent.MayHaveRun perhaps -> settle(ClaimState.UNKNOWN, null);
      case ClaimEvent.WaitElapsed waited -> waited();
    };
  }

  private List<ClaimAction> written(final long newVersion, final long nowMs) {
    version = newVersion;
    if (phase == Phase.SETTLING) {
      phase = Phase.OVER;
      return List.of();
    }
    return run(nowMs);
  }

  /** Runs the request, unless the claim took so long that nobody waits for the answer any more. */
  private List<ClaimAction> run(final long nowMs) {
    if (nowMs >= giveUpAtMs) {
      return abandon(RefusalKind.DEADLINE_UNREACHABLE);
    }
    phase = Phase.RUNNING;
    return List.of(new ClaimAction.Run());
  }

  private List<ClaimAction> abandon(final RefusalKind kind) {
    settled = claim.settled(ClaimState.RELEASED, null);
    phase = Phase.SETTLING;
    return List.of(new ClaimAction.Refuse(kind), new ClaimAction.Read());
  }

  private List<ClaimAction> found(final ClaimRow row, final long foundVersion, final long nowMs) {
    final boolean ours = row != null && row.nonce().equals(claim.nonce());
    if (phase == Phase.SETTLING) {
      return foundWhileSettling(ours, row, foundVersion);
    }
    if (ours) {
      version = foundVersion;
      return run(nowMs);
    }
    if (row == null || row.state() == ClaimState.RELEASED) {
      return List.of(new ClaimAction.Write(claim, foundVersion));
    }
    if (!row.bodyDigest().equals(claim.bodyDigest())) {
      phase = Phase.OVER;
      return List.of(new ClaimAction.Refuse(RefusalKind.CLAIM_CONFLICT));
    }
    return switch (row.state()) {
      case DONE -> {
        phase = Phase.OVER;
        yield List.of(new ClaimAction.Replay(row.outcome()));
      }
      case CLAIMED -> waitForHolder(row, nowMs);
      default -> replyUnknown("the first request with this key may have run");
    };
  }

  private List<ClaimAction> waitForHolder(final ClaimRow row, final long nowMs) {
    final boolean holderGone =
        row.endpoint().equals(claim.endpoint()) && row.incarnation() < claim.incarnation();
    if (holderGone) {
      return replyUnknown("the endpoint was replaced while it ran the request");
    }
    if (nowMs >= giveUpAtMs) {
      return replyUnknown("another request with this key is still running");
    }
    phase = Phase.WAITING_FOR_HOLDER;
    return List.of(new ClaimAction.Wait(POLL_INTERVAL_MS));
  }

  private List<ClaimAction> replyUnknown(final String detail) {
    phase = Phase.OVER;
    return List.of(new ClaimAction.ReplyUnknown(detail));
  }

  private List<ClaimAction> foundWhileSettling(
      final boolean ours, final ClaimRow row, final long foundVersion) {
    if (row == null) {
      // Keeps a write that is still under way from taking effect later.
      return List.of(new ClaimAction.Write(settled, 0));
    }
    final boolean needed = ours && row.state() == ClaimState.CLAIMED;
    if (!needed) {
      phase = Phase.OVER;
      return List.of();
    }
    version = foundVersion;
    return List.of(new ClaimAction.Write(settled, version));
  }

  private List<ClaimAction> tableFailed(final boolean effectPossible, final long nowMs) {
    switch (phase) {
      case CLAIMING -> {
        perhapsWritten |= effectPossible;
        if (nowMs < giveUpAtMs) {
          return List.of(new ClaimAction.Wait(POLL_INTERVAL_MS));
        }
        if (perhapsWritten) {
          return abandon(RefusalKind.CLAIM_UNAVAILABLE);
        }
        phase = Phase.OVER;
        return List.of(new ClaimAction.Refuse(RefusalKind.CLAIM_UNAVAILABLE));
      }
      case WAITING_FOR_HOLDER -> {
        if (nowMs < giveUpAtMs) {
          return List.of(new ClaimAction.Wait(POLL_INTERVAL_MS));
        }
        return replyUnknown("another request with this key may be running");
      }
      case SETTLING -> {
        return List.of(new ClaimAction.Wait(STORE_INTERVAL_MS));
      }
      default -> {
        return List.of();
      }
    }
  }

  private List<ClaimAction> waited() {
    return phase == Phase.OVER ? List.of() : List.of(new ClaimAction.Read());
  }

  private List<ClaimAction> settle(final ClaimState state, final ClaimOutcome outcome) {
    settled = claim.settled(state, outcome);
    phase = Phase.SETTLING;
    return List.of(new ClaimAction.Write(settled, version));
  }
}
