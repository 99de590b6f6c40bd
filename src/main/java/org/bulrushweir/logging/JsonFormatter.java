package org.bulrushweir.logging;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.base.Throwables;
import java.util.logging.Formatter;
import java.util.logging.LogRecord;
import org.bulrushweir.api.NodeId;

/** Writes each record as a JSON object on a line of its own. */
final class JsonFormatter extends Formatter {

  private final ObjectMapper mapper = new ObjectMapper();
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
    final Throwable thrown = logRecord.getThrown();
    final JsonRecord json =
        new JsonRecord(
            logRecord.getInstant().toString(),
            logRecord.getLevel().getName(),
            node.value(),
            logRecord.getLoggerName(),
            formatMessage(logRecord),
            thrown == null ? null : Throwables.getStackTraceAsString(thrown));
    try {
      return mapper.writeValueAsString(json) + '\n';
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("a log record can't be written", e);
    }
  }

  /**
   * A record as JSON.
   *
   * @param time when it was logged
   * @param level its severity
   * @param node the process's id
   * @param logger the logger's name
   * @param message the message
   * @param exception the stack trace, null if there is none
   */
  @JsonInclude(JsonInclude.Include.NON_NULL)
  private record JsonRecord(
      @JsonProperty("time") String time,
      @JsonProperty("level") String level,
      @JsonProperty("node") String node,
      @JsonProperty("logger") String logger,
      @JsonProperty("message") String message,
      @JsonProperty("exception") String exception) {}
}
