package org.bulrushweir.soak;

/**
 * A promise that was broken.
 *
 * @param promise the promise
 * @param atMs when it was seen, in milliseconds since the start
 * @param detail what was seen
 */
record Breach(Promise promise, long atMs, String detail) {

  @Override
  public String toString() {
    return promise + " at " + atMs + " ms: " + detail;
  }
}
