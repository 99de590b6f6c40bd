package org.bulrushweir.dispatch;

/** A sum whose terms decay exponentially. */
final class DecayingSum {

  private final double decayMs;
  private double value;
  private long updatedMs;

  /**
   * Creates a sum of zero.
   *
   * @param decayMs the time constant of the decay, in milliseconds
   */
  DecayingSum(final double decayMs) {
    this.decayMs = decayMs;
  }

  /** Returns an independent copy. */
  DecayingSum copy() {
    final DecayingSum copy = new DecayingSum(decayMs);
    copy.value = value;
    copy.updatedMs = updatedMs;
    return copy;
  }

  /**
   * Adds a term.
   *
   * @param term the term
   * @param nowMs the current time, in Unix milliseconds
   */
  void add(final double term, final long nowMs) {
    value = at(nowMs) + term;
    updatedMs = nowMs;
  }

  /**
   * Returns the sum.
   *
   * @param nowMs the current time, in Unix milliseconds
   * @return the decayed sum
   */
  double at(final long nowMs) {
    return value == 0 ? 0 : value * Math.exp(-Math.max(0, nowMs - updatedMs) / decayMs);
  }
}
