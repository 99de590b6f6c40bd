package org.bulrushweir.sidecar;

import okhttp3.Call;
import org.bulrushweir.admission.AttemptKey;
import org.bulrushweir.admission.WorkItem;
import org.bulrushweir.delivery.AnswerBuffer;
import org.bulrushweir.wire.PeerChannel;
import org.bulrushweir.wire.generated.Dispatch;
import org.bulrushweir.wire.generated.Refusal;

/** Tracks one attempt at the sidecar. Guarded by the lock of {@link SidecarCore}. */
final class SidecarRun {

  private final AnswerBuffer buffer = new AnswerBuffer();
  private final AttemptKey key;
  private final Dispatch dispatch;
  private final WorkItem item;
  private RunState state = RunState.QUEUED;
  private PeerChannel channel;
  private Call call;
  private Refusal refusal;
  private long cancelAtMs = Long.MAX_VALUE;
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
      final Dispatch dispatch,
      final AttemptKey key,
      final WorkItem item,
      final PeerChannel channel) {
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

  WorkItem item() {
    return item;
  }

  RunState state() {
    return state;
  }

  PeerChannel channel() {
    return channel;
  }

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

  void run() {
    state = RunState.RUNNING;
  }

  /**
   * Sets the call that is under way, so that it can be cancelled.
   *
   * @param newCall the call
   */
  void call(final Call newCall) {
    call = newCall;
  }

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
    if (call != null) {
      call.cancel();
    }
  }
}
