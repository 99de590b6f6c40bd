package org.bulrushweir.delivery;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/** Puts the parts of one attempt's answer in order, whatever order they come in. */
public final class AnswerAssembler {

  private static final int LENGTH_UNKNOWN = -1;

  private final TreeMap<Integer, AnswerPart> early = new TreeMap<>();
  private int nextSequence;
  private int length = LENGTH_UNKNOWN;

  /**
   * Creates an assembler.
   *
   * @param nextSequence the first part that is missing
   */
  public AnswerAssembler(final int nextSequence) {
    this.nextSequence = nextSequence;
  }

  /**
   * Takes a part.
   *
   * @param sequence the part's sequence number
   * @param part the part
   * @return the parts that are next in order, none if an earlier one is still missing
   */
  public List<AnswerPart> accept(final int sequence, final AnswerPart part) {
    final List<AnswerPart> ready = new ArrayList<>();
    if (sequence < nextSequence) {
      return ready;
    }
    early.putIfAbsent(sequence, part);
    while (!early.isEmpty() && early.firstKey() == nextSequence) {
      ready.add(early.pollFirstEntry().getValue());
      nextSequence++;
    }
    return ready;
  }

  /**
   * Takes note of the answer's length.
   *
   * @param parts how many parts the answer has
   */
  public void setPartCount(final int parts) {
    length = parts;
  }

  /**
   * Tells whether all parts have come.
   *
   * @return true if the length is known and no part is missing
   */
  public boolean isComplete() {
    return length != LENGTH_UNKNOWN && nextSequence >= length;
  }

  /**
   * Returns the sequence number of the first part that is missing.
   *
   * @return the sequence number
   */
  public int nextSequence() {
    return nextSequence;
  }
}
