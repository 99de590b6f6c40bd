package org.bulrushweir.logging;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;

/** Writes JSON objects on lines of their own, without the cost of mapping classes. */
public final class JsonLine {

  private static final JsonFactory JSON = new JsonFactory();

  private JsonLine() {}

  /** Writes the fields of an object. */
  @FunctionalInterface
  public interface Fields {

    /**
     * Writes the fields.
     *
     * @param json takes them
     * @throws IOException if they can't be written
     */
    void write(JsonGenerator json) throws IOException;
  }

  /**
   * Writes an object.
   *
   * @param fields writes its fields
   * @return the object, without an end of line
   */
  public static String of(final Fields fields) {
    final StringWriter text = new StringWriter();
    try (JsonGenerator json = JSON.createGenerator(text)) {
      json.writeStartObject();
      fields.write(json);
      json.writeEndObject();
    } catch (IOException e) {
      throw new UncheckedIOException("a log line can't be written", e);
    }
    return text.toString();
  }
}
