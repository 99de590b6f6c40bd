package org.bulrushweir.sidecar;

import okhttp3.Call;
import org.bulrushweir.admission.Offer;
import org.bulrushweir.api.AttemptKey;
import org.bulrushweir.delivery.AnswerBuffer;
import org.bulrushweir.wire.PeerChannel;
import org.bulrushweir.wire.generated.Dispatch;

/** Holds the state of an accepted attempt. Guarded by the lock of {@link AttemptManager}. */
final class AcceptedAttempt {

  /** The parts of the answer so far. */
  private final AnswerBuffer buffer = new AnswerBuffer();

  private final AttemptKey key;

  /** The router's message that requested the attempt. */
  private final Dispatch dispatch;

  /** The attempt as admission control sees it. */
  private final Offer offer;

  /** The connection to the router that receives the answer. */
  private PeerChannel channel;

  /** The call to the endpoint; null before it is prepared. Also written without the lock. */
  private volatile Call call;

  /**
   * Time at which the attempt is stopped, in milliseconds of the process's clock; {@link
   * Long#MAX_VALUE} if it is not to be stopped.
   */
  private long cancelAtMs = Long.MAX_VALUE;

  /**
   * Creates an attempt that is queued for a slot.
   *
   * @param key the key of the attempt
   * @param dispatch the router's message that requested the attempt
   * @param offer the attempt as admission control sees it
   * @param channel the connection to the router
   */
  AcceptedAttempt(
      final AttemptKey key, final Dispatch dispatch, final Offer offer, final PeerChannel channel) {
    this.key = key;
    this.dispatch = dispatch;
    this.offer = offer;
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

  Offer offer() {
    return offer;
  }

  PeerChannel channel() {
    return channel;
  }

  /**
   * Changes the connection to the router that receives the answer, and revokes a scheduled stop.
   *
   * @param newChannel the connection to the router
   */
  void channel(final PeerChannel newChannel) {
    channel = newChannel;
    cancelAtMs = Long.MAX_VALUE;
  }

  long cancelAtMs() {
    return cancelAtMs;
  }

  void cancelAt(final long timeMs) {
    cancelAtMs = Math.min(cancelAtMs, timeMs);
  }

  void call(final Call newCall) {
    call = newCall;
  }

  /** Cancels the call to the endpoint, if there is one, and revokes a scheduled stop. */
  void abort() {
    cancelAtMs = Long.MAX_VALUE;
    final Call current = call;
    if (current != null) {
      current.cancel();
    }
  }
}
