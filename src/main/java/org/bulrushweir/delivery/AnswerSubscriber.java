package org.bulrushweir.delivery;

/** Receives the parts of an answer while it is generated. */
public interface AnswerSubscriber {

  /**
   * Called for each part, in order.
   *
   * @param sequence the part's sequence number, counted from zero
   * @param part the part
   */
  void onPart(int sequence, AnswerPart part);

  /**
   * Called once, after the last part.
   *
   * @param end how the answer ended
   */
  void onEnd(AttemptEnd end);
}
