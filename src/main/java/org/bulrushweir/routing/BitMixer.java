package org.bulrushweir.routing;

/** Mixes the bits of numbers so that each bit of the result depends on all bits of the input. */
public final class BitMixer {

  /** The first multiplier of the finalizer of SplitMix64. */
  private static final long FACTOR_1 = 0xBF58476D1CE4E5B9L;

  /** The second multiplier of the finalizer of SplitMix64. */
  private static final long FACTOR_2 = 0x94D049BB133111EBL;

  /** The first shift of the finalizer of SplitMix64, in bits. */
  private static final int SHIFT_1 = 30;

  /** The second shift of the finalizer of SplitMix64, in bits. */
  private static final int SHIFT_2 = 27;

  /** The third shift of the finalizer of SplitMix64, in bits. */
  private static final int SHIFT_3 = 31;

  private BitMixer() {}

  /**
   * Returns a hash of a number.
   *
   * @param value the number
   * @return the number with its bits mixed
   */
  public static long mix(final long value) {
    long mixed = value;
    mixed = (mixed ^ mixed >>> SHIFT_1) * FACTOR_1;
    mixed = (mixed ^ mixed >>> SHIFT_2) * FACTOR_2;
    return mixed ^ mixed >>> SHIFT_3;
  }
}
