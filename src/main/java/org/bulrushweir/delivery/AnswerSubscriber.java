package org.bulrushweir.delivery;

/** Follows an answer while it is generated. */
public interface AnswerSubscriber {

  /**
   * Hears of a part.
   *
   * @param sequence the part's sequence number
   * @param part the part
   */
  void onPart(int sequence, AnswerPart part);

  /**
   * Hears of the end.
   *
   * @param end how the answer ended
   */
  void onEnd(AttemptEnd end);
}
