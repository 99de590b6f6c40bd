package org.bulrushweir.relay;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

/**
 * The state machine of one caller's connection, on which further requests may arrive before the
 * first one is answered. It decides which message is handled next and whether the connection stays
 * open; it does no I/O.
 *
 * <p>All messages pass through it in the order of their arrival, and {@link #next} is the only way
 * on to the next one: a message that has just arrived can't overtake one that waits.
 *
 * <p>The connection is always read, as its end could not be seen otherwise. A request for which the
 * queue has no room is refused in its turn and is the last one of the connection.
 *
 * @param <M> the type of the messages, which are heads and parts of requests
 */
public final class CallerPipeline<M> {

  /** The number of messages that may wait; a message holds a head or up to 8 KiB of a body. */
  private static final int MAX_WAITING = 32;

  private final Deque<M> waiting = new ArrayDeque<>();
  private Phase phase = Phase.RECEIVING;
  private boolean keepsOpen;
  private boolean overflowed;

  /** What the connection is in the middle of. */
  private enum Phase {
    /** It receives a request, or waits for one. */
    RECEIVING,
    /** A complete request is served and has no response yet. */
    SERVING,
    /** The head of its response is sent. */
    RESPONDING,
    /** It takes no further request. */
    CLOSING
  }

  /** Creates the state of a new connection. */
  public CallerPipeline() {}

  /**
   * Adds a message that has arrived, unless the queue has or had no room for one, or the connection
   * closes.
   *
   * @param message the message
   * @return false if the message must be dropped
   */
  public boolean add(final M message) {
    if (isClosing() || overflowed) {
      return false;
    }
    if (waiting.size() == MAX_WAITING) {
      overflowed = true;
      return false;
    }
    waiting.addLast(message);
    return true;
  }

  /**
   * Takes the next message to handle.
   *
   * @return the message, empty if none waits, while a request is served, and once the connection
   *     closes
   */
  public Optional<M> next() {
    return phase == Phase.RECEIVING ? Optional.ofNullable(waiting.pollFirst()) : Optional.empty();
  }

  /**
   * Returns whether the request for which the queue had no room must be refused now.
   *
   * @return true once all messages before it are handled and all requests before it answered
   */
  public boolean isOverflowDue() {
    return overflowed && phase == Phase.RECEIVING && waiting.isEmpty();
  }

  /**
   * Records that the request being received is complete.
   *
   * @param keptOpenByCaller whether the caller lets the connection stay open after the response
   */
  public void startServing(final boolean keptOpenByCaller) {
    phase = Phase.SERVING;
    keepsOpen = keptOpenByCaller;
  }

  /**
   * Records that the response starts, and decides whether the connection stays open after it.
   *
   * @param draining whether the process drains; the connection then stays open only for what waits
   * @return false if the response must announce the end of the connection
   */
  public boolean startResponse(final boolean draining) {
    phase = Phase.RESPONDING;
    keepsOpen = keepsOpen && (!draining || hasWaiting());
    return keepsOpen;
  }

  /**
   * Records that the response is complete.
   *
   * @return false if the connection must be closed
   */
  public boolean endResponse() {
    phase = keepsOpen ? Phase.RECEIVING : Phase.CLOSING;
    return keepsOpen;
  }

  /** Records that the connection takes no further request, whatever waits. */
  public void close() {
    phase = Phase.CLOSING;
    keepsOpen = false;
  }

  /**
   * Returns whether a request is served or answered.
   *
   * @return true from the end of a request to the end of its response
   */
  public boolean isBusy() {
    return phase == Phase.SERVING || phase == Phase.RESPONDING;
  }

  /**
   * Returns whether the connection takes no further request.
   *
   * @return true once it closes
   */
  public boolean isClosing() {
    return phase == Phase.CLOSING;
  }

  /**
   * Returns whether messages wait.
   *
   * @return false if all that arrived is handled
   */
  public boolean hasWaiting() {
    return !waiting.isEmpty() || overflowed && !isClosing();
  }

  /**
   * Returns whether the queue has had no room for a message.
   *
   * @return true if further messages are dropped
   */
  public boolean hasOverflowed() {
    return overflowed;
  }

  /**
   * Takes a message that will not be handled any more.
   *
   * @return the message, empty if there is none
   */
  public Optional<M> discard() {
    return Optional.ofNullable(waiting.pollFirst());
  }
}
