package org.bulrushweir.api;

import java.util.Collections;
import java.util.SortedSet;
import java.util.TreeSet;

/** Collects findings, sorted by place, so that they are reported together. */
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
   * Tells whether nothing was found.
   *
   * @return true if there is no finding
   */
  public boolean isEmpty() {
    return findings.isEmpty();
  }

  /**
   * Returns the findings.
   *
   * @return an unmodifiable view, sorted by place
   */
  public SortedSet<Finding> findings() {
    return Collections.unmodifiableSortedSet(findings);
  }

  /**
   * Fails if anything was found.
   *
   * @throws InvalidInputException with all findings, if there are any
   */
  public void throwIfAny() {
    if (!findings.isEmpty()) {
      throw new InvalidInputException(findings());
    }
  }
}
