package org.bulrushweir.settings;

/** Minimum severities of the log records that are written. */
public enum LogLevel {
  /** All records. */
  DEBUG,
  /** Records that inform operators, and more severe ones. */
  INFO,
  /** Only records that need an operator's attention. */
  WARNING
}
