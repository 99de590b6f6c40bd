package org.bulrushweir.store;

/** Reports that changes can't be followed any more and the table must be read anew. */
public final class HistoryLostException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  /** Creates the exception. */
  public HistoryLostException() {
    super("the platform has dropped the history that was asked for");
  }
}
