package org.bulrushweir.trace;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;

/** Writes records of traces. */
public final class TraceWriter {

  /** Writes JSON. */
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private TraceWriter() {}

  /**
   * Writes a record.
   *
   * @param traceRecord the record
   * @return a line without its end
   */
  public static String line(final TraceRecord traceRecord) {
    try {
      return MAPPER.writerFor(TraceRecord.class).writeValueAsString(traceRecord);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("a trace record can't be written", e);
    }
  }
}
