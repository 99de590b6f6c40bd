package org.bulrushweir.sidecar;

import okhttp3.Call;
import org.bulrushweir.admission.Offer;
import org.bulrushweir.api.AttemptKey;
import org.bulrushweir.delivery.AnswerBuffer;
import org.bulrushweir.wire.PeerChannel;
import org.bulrushweir.wire.generated.Dispatch;

/** Holds an accepted attempt. Guarded by the lock of {@link AttemptManager}. */
final class AcceptedAttempt {

  /** The parts of the answer. */
  private final AnswerBuffer buffer = new AnswerBuffer();

  /** The attempt. */
  private final AttemptKey key;

  /** The message that asked for it. */
  private final Dispatch dispatch;

  /** What admission was told of it. */
  private final Offer offer;

  /** The connection to the router that follows it. */
  private PeerChannel channel;

  /** The call that is under way at the endpoint, null if there is none. */
  private volatile Call call;

  /** When the attempt is stopped, in milliseconds. */
  private long cancelAtMs = Long.MAX_VALUE;

  /**
   * Creates a run that waits for a slot.
   *
   * @param key the attempt
   * @param dispatch the message that asked for it
   * @param offer what admission was told of it
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
   * Changes the router that follows the attempt; it is not to be stopped any more.
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

  /** Stops the call that is under way, if any. */
  void abort() {
    cancelAtMs = Long.MAX_VALUE;
    final Call current = call;
    if (current != null) {
      current.cancel();
    }
  }
}
