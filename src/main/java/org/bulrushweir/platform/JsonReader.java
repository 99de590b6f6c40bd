package org.bulrushweir.platform;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import org.bulrushweir.api.Finding;
import org.bulrushweir.api.FindingCollector;

/** Reads the fields of a JSON object; what is missing or of another type becomes a finding. */
final class JsonReader {

  /**
   * Reads texts into trees; one for all of the adapter, since each takes a starting process long.
   */
  static final ObjectMapper MAPPER = new ObjectMapper();

  private final String place;
  private final JsonNode node;
  private final FindingCollector findings;

  /**
   * Creates a reader.
   *
   * @param place where the object stands, for findings
   * @param node the object
   * @param findings where findings go
   */
  JsonReader(final String place, final JsonNode node, final FindingCollector findings) {
    this.place = place;
    this.node = node;
    this.findings = findings;
  }

  /**
   * Parses an entry that others may have written.
   *
   * @param place where the entry stands, for findings
   * @param text the JSON text
   * @param findings where findings go
   * @return the reader, empty after a finding if the text is not JSON
   */
  static Optional<JsonReader> parse(
      final String place, final String text, final FindingCollector findings) {
    try {
      return Optional.of(new JsonReader(place, MAPPER.readTree(text), findings));
    } catch (JsonProcessingException e) {
      findings.add(new Finding(place, 0, 0, "is not JSON"));
      return Optional.empty();
    }
  }

  JsonReader child(final String field) {
    return new JsonReader(place + "." + field, node.path(field), findings);
  }

  JsonReader element(final String field, final int index) {
    return new JsonReader(
        place + "." + field + "[" + index + "]", node.path(field).path(index), findings);
  }

  /**
   * Reads the texts of an array.
   *
   * @param field the field
   * @return the texts; elements that are empty or of another type are left out after a finding
   */
  List<String> texts(final String field) {
    final List<String> texts = new ArrayList<>();
    for (int index = 0; index < size(field); index++) {
      final JsonNode element = node.path(field).path(index);
      if (element.isTextual() && !element.textValue().isEmpty()) {
        texts.add(element.textValue());
      } else {
        element(field, index).report("value", "is not a text");
      }
    }
    return texts;
  }

  int size(final String field) {
    return node.path(field).size();
  }

  boolean has(final String field) {
    return node.hasNonNull(field);
  }

  /**
   * Returns whether the object names a field, whatever its value.
   *
   * @param field the field
   * @return true also if the value is null
   */
  boolean names(final String field) {
    return node.has(field);
  }

  boolean isObject() {
    return node.isObject();
  }

  /**
   * Reads a text.
   *
   * @param field the field
   * @return the text, empty after a finding
   */
  String text(final String field) {
    final JsonNode value = node.path(field);
    if (!value.isTextual()) {
      report(field, "is not a text");
      return "";
    }
    return value.textValue();
  }

  /**
   * Reads a whole number.
   *
   * @param field the field
   * @return the number, zero after a finding
   */
  long integer(final String field) {
    final JsonNode value = node.path(field);
    if (!value.isNumber()) {
      report(field, "is not a number");
      return 0;
    }
    if (!value.canConvertToLong()) {
      report(field, "is out of range");
      return 0;
    }
    return value.longValue();
  }

  long integer(final String field, final long fallback) {
    return has(field) ? integer(field) : fallback;
  }

  /**
   * Reads a whole number of 32 bits.
   *
   * @param field the field
   * @return the number, zero after a finding
   */
  int intNumber(final String field) {
    final long value = integer(field);
    if (value != (int) value) {
      report(field, "is out of range");
      return 0;
    }
    return (int) value;
  }

  /**
   * Reads a whole number for which all values beyond 32 bits mean the same as the nearest one that
   * fits, such as a limit.
   *
   * @param field the field
   * @param fallback the number if the field is missing, or after a finding
   * @return the number, at the end of the range if it lies beyond
   */
  int saturatedInt(final String field, final int fallback) {
    if (!has(field)) {
      return fallback;
    }
    return requiredSaturatedInt(field, fallback);
  }

  /**
   * Reads a whole number like {@link #saturatedInt}; a missing one is a finding.
   *
   * @param field the field
   * @param fallback the number after a finding
   * @return the number, at the end of the range if it lies beyond
   */
  int requiredSaturatedInt(final String field, final int fallback) {
    final JsonNode value = node.path(field);
    if (!value.isNumber()) {
      report(field, "is not a number");
      return fallback;
    }
    // A double is exact for all values within the range and lies beyond it for all others.
    return Math.clamp((long) value.doubleValue(), Integer.MIN_VALUE, Integer.MAX_VALUE);
  }

  /**
   * Reads a number that must be written without a fraction or exponent.
   *
   * @param field the field
   * @return the number, zero after a finding
   */
  long wholeNumber(final String field) {
    final JsonNode value = node.path(field);
    if (!value.isIntegralNumber() || !value.canConvertToLong()) {
      report(field, "is not a whole number");
      return 0;
    }
    return value.longValue();
  }

  /**
   * Reads a truth value.
   *
   * @param field the field
   * @return the value, false if it is missing or after a finding
   */
  boolean flag(final String field) {
    final JsonNode value = node.path(field);
    if (has(field) && !value.isBoolean()) {
      report(field, "is not true or false");
    }
    return value.isBoolean() && value.booleanValue();
  }

  /**
   * Reads a text as a value type.
   *
   * @param <T> the type
   * @param field the field
   * @param constructor makes the value; fails if the text does not fit
   * @return the value, empty after a finding
   */
  <T> Optional<T> value(final String field, final Function<String, T> constructor) {
    final JsonNode value = node.path(field);
    if (!value.isTextual() || value.textValue().isEmpty()) {
      report(field, value.isTextual() ? "is empty" : "is not a text");
      return Optional.empty();
    }
    final String text = value.textValue();
    try {
      return Optional.of(constructor.apply(text));
    } catch (IllegalArgumentException e) {
      report(field, "can't be used: " + e.getMessage());
      return Optional.empty();
    }
  }

  void report(final String field, final String message) {
    findings.add(new Finding(place, 0, 0, "\"" + field + "\" " + message));
  }
}
