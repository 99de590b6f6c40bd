package org.bulrushweir.trace;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.bulrushweir.api.Finding;
import org.bulrushweir.api.FindingCollector;
import org.bulrushweir.api.InvalidInputException;

/**
 * Reads traces: a record on each line, bare or as the message of a JSON log record, so that a
 * router's log can be replayed as it is.
 */
public final class TraceLoader {

  private TraceLoader() {}

  /**
   * Reads a trace.
   *
   * @param source the name of the input, used in findings
   * @param lines the lines
   * @return the records in order of time, starting at zero
   * @throws InvalidInputException with all findings, if a line can't be read
   */
  public static List<TraceRecord> load(final String source, final List<String> lines) {
    final ObjectMapper mapper = new ObjectMapper();
    final FindingCollector findings = new FindingCollector();
    final List<TraceRecord> records = new ArrayList<>();
    int number = 0;
    for (final String line : lines) {
      number++;
      try {
        final JsonNode node = record(mapper, line);
        if (node != null) {
          records.add(mapper.treeToValue(node, TraceRecord.class));
        }
      } catch (JsonProcessingException e) {
        final int column = e.getLocation() == null ? 1 : e.getLocation().getColumnNr();
        findings.add(new Finding(source, number, column, e.getOriginalMessage()));
      }
    }
    findings.throwIfAny();
    records.sort(Comparator.comparingLong(TraceRecord::timeMs));
    return records;
  }

  /** Finds the record in a line, null if the line is empty or a log record about other things. */
  private static JsonNode record(final ObjectMapper mapper, final String line)
      throws JsonProcessingException {
    if (line.isBlank()) {
      return null;
    }
    final JsonNode node = mapper.readTree(line);
    if (node.has("type")) {
      return node;
    }
    final String message = node.path("message").asText();
    return message.startsWith("{\"type\"") ? mapper.readTree(message) : null;
  }
}
