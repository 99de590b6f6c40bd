package org.bulrushweir.logging;

import com.fasterxml.jackson.core.JsonGenerator;
import com.google.common.base.Throwables;
import java.io.IOException;
import java.util.logging.Formatter;
import java.util.logging.LogRecord;
import org.bulrushweir.api.NodeId;

/** Writes each record as a JSON object on a line of its own. */
final class JsonFormatter extends Formatter {

  private final NodeId node;

  /**
   * Creates the formatter.
   *
   * @param node the process's id
   */
  JsonFormatter(final NodeId node) {
    this.node = node;
  }

  @Override
  public String format(final LogRecord logRecord) {
    return JsonLine.of(json -> write(json, logRecord)) + '\n';
  }

  private void write(final JsonGenerator json, final LogRecord logRecord) throws IOException {
    json.writeStringField("time", logRecord.getInstant().toString());
    json.writeStringField("level", logRecord.getLevel().getName());
    json.writeStringField("node", node.value());
    json.writeStringField("logger", logRecord.getLoggerName());
    json.writeStringField("message", formatMessage(logRecord));
    final Throwable thrown = logRecord.getThrown();
    if (thrown != null) {
      json.writeStringField("exception", Throwables.getStackTraceAsString(thrown));
    }
  }
}
