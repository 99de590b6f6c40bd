package org.bulrushweir.api;

import java.util.SortedSet;
import java.util.TreeSet;
import java.util.stream.Collectors;

/** Thrown if an input can't be used. Carries all findings about it. */
public final class InvalidInputException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  private final transient SortedSet<Finding> findings;

  /**
   * Creates the exception.
   *
   * @param findings the findings; at least one
   */
  public InvalidInputException(final SortedSet<Finding> findings) {
    super(findings.stream().map(Finding::toString).collect(Collectors.joining("\n")));
    this.findings = new TreeSet<>(findings);
  }

  /**
   * Returns the findings.
   *
   * @return the findings, sorted by source, line and column
   */
  public SortedSet<Finding> findings() {
    return findings;
  }
}
