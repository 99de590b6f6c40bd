package org.bulrushweir.delivery;

import java.util.ArrayList;
import java.util.List;

/** Keeps the parts of an answer so that a subscriber can follow it from any part on. */
public final class AnswerBuffer {

  private final List<AnswerPart> parts = new ArrayList<>();
  private AttemptEnd end;
  private AnswerSubscriber subscriber;

  /**
   * Appends a part.
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
   * Ends the answer.
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
   * Replaces the subscriber and replays what it has missed.
   *
   * @param newSubscriber the subscriber
   * @param nextSequence the first part that it wants
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

  /** Drops the subscriber; parts are kept. */
  public synchronized void unsubscribe() {
    subscriber = null;
  }

  /**
   * Counts the parts.
   *
   * @return the number of parts so far
   */
  public synchronized int size() {
    return parts.size();
  }
}
