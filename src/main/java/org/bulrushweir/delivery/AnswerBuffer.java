package org.bulrushweir.delivery;

import java.util.ArrayList;
import java.util.List;

/**
 * Stores the parts of an answer, so that a subscriber can receive it from any part onwards. At most
 * one subscriber is served at a time. Thread-safe.
 */
public final class AnswerBuffer {

  private final List<AnswerPart> parts = new ArrayList<>();
  private AttemptEnd end;
  private AnswerSubscriber subscriber;

  /**
   * Appends a part and forwards it to the subscriber, if there is one.
   *
   * @param part the part
   */
  public synchronized void append(final AnswerPart part) {
    parts.add(part);
    if (subscriber != null) {
      subscriber.onPart(parts.size() - 1, part);
    }
  }

  /**
   * Records how the answer ended and notifies the subscriber, if there is one.
   *
   * @param attemptEnd how it ended
   */
  public synchronized void end(final AttemptEnd attemptEnd) {
    end = attemptEnd;
    if (subscriber != null) {
      subscriber.onEnd(end);
    }
  }

  /**
   * Replaces the subscriber and replays to it the stored parts from a sequence number onwards, and
   * the end of the answer if that is known.
   *
   * @param newSubscriber the subscriber that receives all further parts
   * @param nextSequence the sequence number of the first part to replay
   */
  public synchronized void subscribe(final AnswerSubscriber newSubscriber, final int nextSequence) {
    subscriber = newSubscriber;
    for (int sequence = nextSequence; sequence < parts.size(); sequence++) {
      subscriber.onPart(sequence, parts.get(sequence));
    }
    if (end != null) {
      subscriber.onEnd(end);
    }
  }

  /** Removes the subscriber; the parts are kept. */
  public synchronized void unsubscribe() {
    subscriber = null;
  }

  /**
   * Returns the number of parts.
   *
   * @return the number of parts appended so far
   */
  public synchronized int size() {
    return parts.size();
  }
}
