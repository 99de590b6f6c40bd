package org.bulrushweir.logging;

import com.google.common.base.Throwables;
import java.util.logging.Formatter;
import java.util.logging.LogRecord;
import org.bulrushweir.api.NodeId;

/** Writes each record as a line of text. */
final class TextFormatter extends Formatter {

  private final NodeId node;

  /**
   * Creates the formatter.
   *
   * @param node the process's id
   */
  TextFormatter(final NodeId node) {
    this.node = node;
  }

  @Override
  public String format(final LogRecord logRecord) {
    final StringBuilder line = new StringBuilder();
    line.append(logRecord.getInstant())
        .append(' ')
        .append(logRecord.getLevel())
        .append(' ')
        .append(node)
        .append(' ')
        .append(formatMessage(logRecord))
        .append('\n');
    if (logRecord.getThrown() != null) {
      line.append(Throwables.getStackTraceAsString(logRecord.getThrown()));
    }
    return line.toString();
  }
}
