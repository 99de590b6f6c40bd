package org.bulrushweir.relay;

/**
 * Finds lines of a response's head that start with white space. Some readers take such a line for
 * the rest of the header before it and others for a header, which may be the length of the body.
 */
public final class FoldedLineScanner {

  private static final byte NEWLINE = '\n';
  private static final byte SPACE = ' ';
  private static final byte TAB = '\t';

  private boolean lineStart = true;
  private boolean folded;

  /** Creates a scanner at the start of a head. */
  public FoldedLineScanner() {}

  /**
   * Handles the next byte of the head.
   *
   * @param value the byte
   */
  public void accept(final byte value) {
    folded |= lineStart && (value == SPACE || value == TAB);
    lineStart = value == NEWLINE;
  }

  /**
   * Returns whether a line started with white space.
   *
   * @return true once there was one
   */
  public boolean isFolded() {
    return folded;
  }

  /** Starts over, as at the start of a head. */
  public void reset() {
    lineStart = true;
    folded = false;
  }
}
