package org.bulrushweir.engine;

/** Follows an answer as an engine generates it. */
public interface EngineListener {

  /**
   * Hears of new text.
   *
   * @param text one token's text
   */
  void onToken(String text);
}
