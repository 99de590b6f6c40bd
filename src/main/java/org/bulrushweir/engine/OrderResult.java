package org.bulrushweir.engine;

/** What became of an order to an engine. */
public enum OrderResult {
  /** The engine has carried it out. */
  DONE,
  /** The engine has refused it because of its old fencing number. */
  FENCED,
  /** The engine did not answer, or failed. */
  FAILED
}
