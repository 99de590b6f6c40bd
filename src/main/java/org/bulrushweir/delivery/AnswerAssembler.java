package org.bulrushweir.delivery;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/**
 * Restores the order of the parts of one attempt's answer, which may arrive out of order or more
 * than once.
 */
public final class AnswerAssembler {

  private static final int PART_COUNT_UNKNOWN = -1;

  private final TreeMap<Integer, AnswerPart> outOfOrder = new TreeMap<>();
  private int nextSequence;
  private int partCount = PART_COUNT_UNKNOWN;

  /**
   * Creates an assembler that holds no part.
   *
   * @param nextSequence the sequence number of the first part that is missing
   */
  public AnswerAssembler(final int nextSequence) {
    this.nextSequence = nextSequence;
  }

  /**
   * Adds a part. A part that was added before, or precedes the first missing one, is ignored.
   *
   * @param sequence the part's sequence number
   * @param part the part
   * @return the parts that can now be delivered in order, empty if an earlier one is still missing
   */
  public List<AnswerPart> accept(final int sequence, final AnswerPart part) {
    final List<AnswerPart> ready = new ArrayList<>();
    if (sequence < nextSequence) {
      return ready;
    }
    outOfOrder.putIfAbsent(sequence, part);
    while (!outOfOrder.isEmpty() && outOfOrder.firstKey() == nextSequence) {
      ready.add(outOfOrder.pollFirstEntry().getValue());
      nextSequence++;
    }
    return ready;
  }

  /**
   * Sets the number of parts of the complete answer.
   *
   * @param parts the number of parts
   */
  public void setPartCount(final int parts) {
    partCount = parts;
  }

  /**
   * Returns whether all parts have arrived.
   *
   * @return true if the number of parts is known and none is missing
   */
  public boolean isComplete() {
    return partCount != PART_COUNT_UNKNOWN && nextSequence >= partCount;
  }

  /**
   * Returns the sequence number of the first part that is missing.
   *
   * @return the sequence number, counted from zero
   */
  public int nextSequence() {
    return nextSequence;
  }
}
