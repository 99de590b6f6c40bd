package org.bulrushweir.sidecar;

import okhttp3.Call;
import org.bulrushweir.admission.AttemptKey;
import org.bulrushweir.admission.Offer;
import org.bulrushweir.delivery.AnswerBuffer;
import org.bulrushweir.wire.PeerChannel;
import org.bulrushweir.wire.generated.Dispatch;
import org.bulrushweir.wire.generated.Refusal;

/** Tracks one attempt at the sidecar. Guarded by the lock of {@link SidecarCore}. */
final class SidecarRun {

  /** The parts of the answer. */
  private final AnswerBuffer buffer = new AnswerBuffer();

  /** The attempt. */
  private final AttemptKey key;

  /** The message that asked for it, null for a tombstone. */
  private final Dispatch dispatch;

  /** What admission knows of it, null for a tombstone. */
  private final Offer item;

  /** How far it has come. */
  private RunState state = RunState.QUEUED;

  /** The connection to the router that follows it. */
  private PeerChannel channel;

  /** The call that is under way at the endpoint, null if there is none. */
  private volatile Call call;

  /** What the router is told if the attempt is not run. */
  private Refusal refusal;

  /** When the attempt is stopped, in milliseconds. */
  private long cancelAtMs = Long.MAX_VALUE;

  /** When the attempt ended or was refused, in milliseconds. */
  private long settledAtMs;

  /**
   * Creates a run that waits for a slot.
   *
   * @param dispatch the message that asked for it, null for a tombstone
   * @param key the attempt
   * @param item what admission knows of it, null for a tombstone
   * @param channel the connection to the router, null for a tombstone
   */
  SidecarRun(
      final Dispatch dispatch, final AttemptKey key, final Offer item, final PeerChannel channel) {
    this.dispatch = dispatch;
    this.key = key;
    this.item = item;
    this.channel = channel;
  }

  AnswerBuffer buffer() {
    return buffer;
  }

  AttemptKey key() {
    return key;
  }

  Dispatch dispatch() {
    return dispatch;
  }

  Offer item() {
    return item;
  }

  RunState state() {
    return state;
  }

  PeerChannel channel() {
    return channel;
  }

  /**
   * Changes the router that follows the attempt; it is not to be stopped any more.
   *
   * @param newChannel the connection to the router
   */
  void channel(final PeerChannel newChannel) {
    channel = newChannel;
    cancelAtMs = Long.MAX_VALUE;
  }

  Refusal refusal() {
    return refusal;
  }

  long cancelAtMs() {
    return cancelAtMs;
  }

  void cancelAt(final long timeMs) {
    cancelAtMs = Math.min(cancelAtMs, timeMs);
  }

  long settledAtMs() {
    return settledAtMs;
  }

  void start() {
    state = RunState.RUNNING;
  }

  void call(final Call newCall) {
    call = newCall;
  }

  /**
   * Takes note that the attempt ran, wholly or in part.
   *
   * @param nowMs the current time
   */
  void end(final long nowMs) {
    state = RunState.ENDED;
    settledAtMs = nowMs;
  }

  /**
   * Takes note that the attempt will never run.
   *
   * @param newRefusal what the router is told
   * @param nowMs the current time
   */
  void refuse(final Refusal newRefusal, final long nowMs) {
    refusal = newRefusal;
    state = RunState.REFUSED;
    settledAtMs = nowMs;
  }

  boolean isSettled() {
    return state == RunState.ENDED || state == RunState.REFUSED;
  }

  /** Stops the call that is under way, if any. */
  void abort() {
    cancelAtMs = Long.MAX_VALUE;
    final Call current = call;
    if (current != null) {
      current.cancel();
    }
  }
}
