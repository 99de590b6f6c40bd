package org.bulrushweir.engine;

/** Receives the tokens of an answer as an engine generates them. */
public interface EngineListener {

  /**
   * Called for each generated token.
   *
   * @param text the text of the token
   */
  void onToken(String text);
}
