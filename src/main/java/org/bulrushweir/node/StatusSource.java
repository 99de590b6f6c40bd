package org.bulrushweir.node;

import org.bulrushweir.wire.generated.StatusReport;

/** Tells the part of a process's status that only its role knows. */
@FunctionalInterface
public interface StatusSource {

  /**
   * Fills in the status.
   *
   * @param report the status, with the common part filled in
   */
  void describe(StatusReport.Builder report);
}
