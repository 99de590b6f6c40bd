package org.bulrushweir.store;

/** Reports that the platform did not answer, or answered with an error. */
public final class PlatformException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  private final boolean effectPossible;

  /**
   * Creates the exception.
   *
   * @param message what happened
   * @param effectPossible true if a write may have taken effect nevertheless
   * @param cause the cause, may be null
   */
  public PlatformException(
      final String message, final boolean effectPossible, final Throwable cause) {
    super(message, cause);
    this.effectPossible = effectPossible;
  }

  /**
   * Tells whether a write may have taken effect although no answer came.
   *
   * @return false if it certainly took no effect
   */
  public boolean effectPossible() {
    return effectPossible;
  }
}
