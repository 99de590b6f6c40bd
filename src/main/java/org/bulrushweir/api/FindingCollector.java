package org.bulrushweir.api;

import java.util.Collections;
import java.util.SortedSet;
import java.util.TreeSet;

/** Collects the findings about an input, so that all of them are reported at once. */
public final class FindingCollector {

  private final SortedSet<Finding> findings = new TreeSet<>();

  /**
   * Adds a finding.
   *
   * @param finding the finding
   */
  public void add(final Finding finding) {
    findings.add(finding);
  }

  /**
   * Returns whether the collector is empty.
   *
   * @return true if no finding was added
   */
  public boolean isEmpty() {
    return findings.isEmpty();
  }

  /**
   * Returns the findings.
   *
   * @return an unmodifiable view, sorted by source, line and column
   */
  public SortedSet<Finding> findings() {
    return Collections.unmodifiableSortedSet(findings);
  }

  /**
   * Throws an exception if any finding was added.
   *
   * @throws InvalidInputException with all findings, if there are any
   */
  public void throwIfAny() {
    if (!findings.isEmpty()) {
      throw new InvalidInputException(findings());
    }
  }
}
