package org.bulrushweir.settings;

/** Formats of log records. */
public enum LogFormat {
  /** One line of text for each record. */
  TEXT,
  /** One JSON object for each record. */
  JSON
}
