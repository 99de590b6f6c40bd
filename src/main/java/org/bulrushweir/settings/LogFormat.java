package org.bulrushweir.settings;

/** How log records are written. */
public enum LogFormat {
  /** One line of text for each record. */
  TEXT,
  /** One JSON object for each record. */
  JSON
}
