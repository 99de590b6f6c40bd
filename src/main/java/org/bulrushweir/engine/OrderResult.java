package org.bulrushweir.engine;

/** The result of an order to an engine. */
public enum OrderResult {
  /** The engine carried it out. */
  DONE,
  /** The engine refused it because its fencing token is stale. */
  FENCED,
  /** The engine did not answer, or answered with an error. */
  FAILED
}
