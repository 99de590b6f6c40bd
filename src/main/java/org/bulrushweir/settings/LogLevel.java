package org.bulrushweir.settings;

/** The least severity of log records that are written. */
public enum LogLevel {
  /** Everything. */
  DEBUG,
  /** What an operator wants to see. */
  INFO,
  /** What needs attention. */
  WARNING
}
