package org.bulrushweir.soak;

/**
 * A step of a soak.
 *
 * @param atMs when it begins, in milliseconds since the start
 * @param fault what it does
 * @param target the number of the gateway or endpoint
 * @param lengthMs how long it lasts, in milliseconds
 * @param variant chooses between the kinds of the fault
 */
record Step(long atMs, Fault fault, int target, long lengthMs, int variant) {

  @Override
  public String toString() {
    return "%6d ms %s target %d for %d ms, variant %d"
        .formatted(atMs, fault, target, lengthMs, variant);
  }
}
