package org.bulrushweir.toml;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.bulrushweir.api.Finding;
import org.bulrushweir.api.FindingCollector;
import org.tomlj.Toml;
import org.tomlj.TomlArray;
import org.tomlj.TomlParseResult;
import org.tomlj.TomlPosition;
import org.tomlj.TomlTable;

/**
 * Reads one table of a TOML text. Every accessor marks its key as known; {@link
 * #reportUnknownKeys()} reports the keys that no accessor has read.
 */
public final class TomlReader {

  private final Set<String> known = new TreeSet<>();
  private final List<TomlReader> children = new ArrayList<>();
  private final String source;
  private final TomlTable table;
  private final String path;
  private final TomlPosition position;
  private final FindingCollector findings;

  private TomlReader(
      final String source,
      final TomlTable table,
      final String path,
      final TomlPosition position,
      final FindingCollector findings) {
    this.source = source;
    this.table = table;
    this.path = path;
    this.position = position;
    this.findings = findings;
  }

  /**
   * Parses a TOML text. Syntax errors are added to the findings.
   *
   * @param source the name of the input, used in findings
   * @param text the TOML text
   * @param findings collects the findings of this reader and of those for nested tables
   * @return the reader of the root table
   */
  public static TomlReader parse(
      final String source, final String text, final FindingCollector findings) {
    final TomlParseResult result = Toml.parse(text);
    result
        .errors()
        .forEach(
            error ->
                findings.add(
                    new Finding(
                        source,
                        error.position().line(),
                        error.position().column(),
                        error.getMessage())));
    return new TomlReader(source, result, "", TomlPosition.positionAt(1, 1), findings);
  }

  /**
   * Returns whether a key is present, and marks it as known.
   *
   * @param key the key
   * @return true if the key is present
   */
  public boolean has(final String key) {
    known.add(key);
    return table.contains(List.of(key));
  }

  /**
   * Returns whether a key has a value. A text that a template left empty, or a placeholder that
   * nobody has filled in, is none.
   *
   * @param key the key
   * @return true if the key has a value
   */
  public boolean isFilled(final String key) {
    return has(key) && !(table.get(List.of(key)) instanceof String text && isUnfilled(text));
  }

  private static boolean isUnfilled(final String text) {
    return text.isBlank() || text.startsWith("{{");
  }

  /**
   * Reads an optional number that may be quoted, as a template does with a value that may be
   * missing. A value of another type or out of range is reported.
   *
   * @param key the key
   * @param fallback the number if the key is missing or not filled in
   * @param minimum the minimum
   * @param maximum the maximum
   * @return the number
   */
  public double templateNumber(
      final String key, final double fallback, final double minimum, final double maximum) {
    if (!(table.get(List.of(key)) instanceof String text)) {
      return number(key, fallback, minimum, maximum);
    }
    known.add(key);
    if (isUnfilled(text)) {
      return fallback;
    }
    try {
      final double number = Double.parseDouble(text);
      if (number >= minimum && number <= maximum) {
        return number;
      }
      reportAt(key, outsideRange(key, number, minimum, maximum));
    } catch (NumberFormatException e) {
      reportAt(key, "\"" + qualified(key) + "\" is not a number");
    }
    return fallback;
  }

  /**
   * Reads a required string. A missing key or a value of another type is reported.
   *
   * @param key the key
   * @return the string; empty if the key is missing or has another type
   */
  public String text(final String key) {
    final Optional<String> value = optionalText(key);
    if (value.isEmpty() && !has(key)) {
      report(position, "\"" + qualified(key) + "\" is missing");
    }
    return value.orElse("");
  }

  /**
   * Reads a string.
   *
   * @param key the key
   * @param fallback the value if the key is missing
   * @return the string, or the fallback if the key is missing or has another type
   */
  public String text(final String key, final String fallback) {
    return optionalText(key).orElse(fallback);
  }

  /**
   * Reads an optional string.
   *
   * @param key the key
   * @return the string; empty if the key is missing or has another type
   */
  public Optional<String> optionalText(final String key) {
    return value(key, String.class, "a string");
  }

  /**
   * Reads the name of an enum constant. An unknown non-empty name is reported, and so are a value
   * of another type and the absence of a required key; an empty string is not.
   *
   * @param <E> the enum type
   * @param key the key
   * @param type the enum class; the text has the names of its constants in lower case with hyphens
   * @param fallback the value if the key is missing or its value is empty or invalid; null if the
   *     key is required
   * @return the constant, or the fallback
   */
  public <E extends Enum<E>> E enumValue(final String key, final Class<E> type, final E fallback) {
    final String text = fallback == null ? text(key) : text(key, "");
    if (text.isEmpty()) {
      return fallback;
    }
    final List<String> names = new ArrayList<>();
    for (final E constant : type.getEnumConstants()) {
      final String name = constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
      if (name.equals(text)) {
        return constant;
      }
      names.add(name);
    }
    reportAt(
        key,
        "\""
            + qualified(key)
            + "\" can't be \""
            + text
            + "\"; "
            + NearestName.suggestion(text, names));
    return fallback;
  }

  /**
   * Reads a whole number. A number outside the range is reported.
   *
   * @param key the key
   * @param fallback the value if the key is missing or its value is invalid
   * @param minimum the smallest allowed value
   * @param maximum the largest allowed value
   * @return the number, or the fallback
   */
  public long integer(
      final String key, final long fallback, final long minimum, final long maximum) {
    final Optional<Long> value = value(key, Long.class, "a whole number");
    if (value.isPresent() && (value.get() < minimum || value.get() > maximum)) {
      reportAt(key, outsideRange(key, value.get(), minimum, maximum));
      return fallback;
    }
    return value.orElse(fallback);
  }

  /**
   * Reads a number. A number outside the range is reported.
   *
   * @param key the key
   * @param fallback the value if the key is missing or its value is invalid
   * @param minimum the smallest allowed value
   * @param maximum the largest allowed value
   * @return the number, or the fallback
   */
  public double number(
      final String key, final double fallback, final double minimum, final double maximum) {
    known.add(key);
    final Object raw = table.get(List.of(key));
    if (raw == null) {
      return fallback;
    }
    if (!(raw instanceof Number)) {
      reportAt(key, "\"" + qualified(key) + "\" is not a number");
      return fallback;
    }
    final double number = ((Number) raw).doubleValue();
    if (number < minimum || number > maximum) {
      reportAt(key, outsideRange(key, number, minimum, maximum));
      return fallback;
    }
    return number;
  }

  private String outsideRange(
      final String key, final Object value, final Object minimum, final Object maximum) {
    return "\""
        + qualified(key)
        + "\" is "
        + value
        + "; it must be from "
        + minimum
        + " to "
        + maximum;
  }

  /**
   * Reads a boolean.
   *
   * @param key the key
   * @param fallback the value if the key is missing
   * @return the value, or the fallback if the key is missing or has another type
   */
  public boolean flag(final String key, final boolean fallback) {
    return value(key, Boolean.class, "true or false").orElse(fallback);
  }

  /**
   * Reads a list of strings. Elements of another type are reported and left out.
   *
   * @param key the key
   * @return the strings; empty if the key is missing
   */
  public List<String> texts(final String key) {
    final Optional<TomlArray> array = value(key, TomlArray.class, "a list of strings");
    final List<String> texts = new ArrayList<>();
    if (array.isEmpty()) {
      return texts;
    }
    for (int index = 0; index < array.get().size(); index++) {
      final Object element = array.get().get(index);
      if (element instanceof String text) {
        texts.add(text);
      } else {
        report(
            array.get().inputPositionOf(index),
            "an element of \"" + qualified(key) + "\" is not a string");
      }
    }
    return texts;
  }

  /**
   * Reads a table whose values are tables. Values of another type are reported and left out.
   *
   * @param key the key
   * @return the readers of the nested tables by name, in the order of the text; empty if the key is
   *     missing
   */
  public Map<String, TomlReader> tables(final String key) {
    final Map<String, TomlReader> readers = new LinkedHashMap<>();
    final Optional<TomlTable> outer = value(key, TomlTable.class, "a table");
    if (outer.isEmpty()) {
      return readers;
    }
    for (final String name : outer.get().keySet()) {
      final TomlPosition at = outer.get().inputPositionOf(List.of(name));
      if (outer.get().get(List.of(name)) instanceof TomlTable inner) {
        readers.put(name, child(inner, qualified(key) + '.' + name, at));
      } else {
        report(at, "\"" + qualified(key) + '.' + name + "\" is not a table");
      }
    }
    return readers;
  }

  /**
   * Reads a nested table. A missing table is read as an empty one.
   *
   * @param key the key
   * @return the reader of the nested table
   */
  public TomlReader table(final String key) {
    final Optional<TomlTable> inner = value(key, TomlTable.class, "a table");
    if (inner.isEmpty()) {
      return child(Toml.parse(""), qualified(key), position);
    }
    return child(inner.get(), qualified(key), table.inputPositionOf(List.of(key)));
  }

  private TomlReader child(final TomlTable inner, final String name, final TomlPosition at) {
    final TomlReader reader = new TomlReader(source, inner, name, at, findings);
    children.add(reader);
    return reader;
  }

  /**
   * Adds a finding with the location of a key, or of this table if the key is missing.
   *
   * @param key the key
   * @param message the error
   */
  public void reportAt(final String key, final String message) {
    final TomlPosition at = table.inputPositionOf(List.of(key));
    report(at == null ? position : at, message);
  }

  /**
   * Adds a finding with the location of this table.
   *
   * @param message the error
   */
  public void report(final String message) {
    report(position, message);
  }

  private void report(final TomlPosition at, final String message) {
    final TomlPosition location = at == null ? position : at;
    findings.add(new Finding(source, location.line(), location.column(), message));
  }

  /** Reports the unknown keys of this table and of all nested tables that were read. */
  public void reportUnknownKeys() {
    for (final String key : table.keySet()) {
      if (!known.contains(key)) {
        reportAt(
            key, "unknown key \"" + qualified(key) + "\"; " + NearestName.suggestion(key, known));
      }
    }
    children.forEach(TomlReader::reportUnknownKeys);
  }

  private <T> Optional<T> value(final String key, final Class<T> type, final String description) {
    known.add(key);
    final Object raw = table.get(List.of(key));
    if (raw == null) {
      return Optional.empty();
    }
    if (!type.isInstance(raw)) {
      reportAt(key, "\"" + qualified(key) + "\" is not " + description);
      return Optional.empty();
    }
    return Optional.of(type.cast(raw));
  }

  private String qualified(final String key) {
    return path.isEmpty() ? key : path + '.' + key;
  }
}
