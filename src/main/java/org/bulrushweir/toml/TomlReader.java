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
 * #reportUnknownKeys()} reports the keys that nobody asked for.
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
   * Parses a text. Syntax errors become findings.
   *
   * @param source the name of the input, used in findings
   * @param text the text
   * @param findings where findings go
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
   * Tells whether a key is present, and marks it as known.
   *
   * @param key the key
   * @return true if it is present
   */
  public boolean has(final String key) {
    known.add(key);
    return table.contains(List.of(key));
  }

  /**
   * Reads a required text.
   *
   * @param key the key
   * @return the text, empty if it is missing
   */
  public String text(final String key) {
    final Optional<String> value = optionalText(key);
    if (value.isEmpty() && !has(key)) {
      report(position, "\"" + qualified(key) + "\" is missing");
    }
    return value.orElse("");
  }

  /**
   * Reads a text.
   *
   * @param key the key
   * @param fallback the value if the key is missing
   * @return the text
   */
  public String text(final String key, final String fallback) {
    return optionalText(key).orElse(fallback);
  }

  /**
   * Reads an optional text.
   *
   * @param key the key
   * @return the text, empty if the key is missing
   */
  public Optional<String> optionalText(final String key) {
    return value(key, String.class, "a string");
  }

  /**
   * Reads a name out of a fixed set.
   *
   * @param <E> the enumeration
   * @param key the key
   * @param type the enumeration's class; its names are written in lower case with hyphens
   * @param fallback the value if the key is missing, null if it is required
   * @return the value, or the fallback
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
   * Reads a whole number.
   *
   * @param key the key
   * @param fallback the value if the key is missing
   * @param minimum the least allowed value
   * @param maximum the greatest allowed value
   * @return the number, or the fallback
   */
  public long integer(
      final String key, final long fallback, final long minimum, final long maximum) {
    final Optional<Long> value = value(key, Long.class, "a whole number");
    if (value.isPresent() && (value.get() < minimum || value.get() > maximum)) {
      reportAt(key, outside(key, value.get(), minimum, maximum));
      return fallback;
    }
    return value.orElse(fallback);
  }

  /**
   * Reads a number.
   *
   * @param key the key
   * @param fallback the value if the key is missing
   * @param minimum the least allowed value
   * @param maximum the greatest allowed value
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
      reportAt(key, outside(key, number, minimum, maximum));
      return fallback;
    }
    return number;
  }

  private String outside(
      final String key, final Object value, final Object minimum, final Object maximum) {
    return "\"" + qualified(key) + "\" is " + value + ", allowed are " + minimum + " to " + maximum;
  }

  /**
   * Reads a truth value.
   *
   * @param key the key
   * @param fallback the value if the key is missing
   * @return the value
   */
  public boolean flag(final String key, final boolean fallback) {
    return value(key, Boolean.class, "true or false").orElse(fallback);
  }

  /**
   * Reads a list of texts.
   *
   * @param key the key
   * @return the texts, empty if the key is missing
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
   * Reads a table whose values are named tables.
   *
   * @param key the key
   * @return readers by name, in the order of the text
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
   * Reads a table; a missing one counts as empty.
   *
   * @param key the key
   * @return the table's reader
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
   * Adds a finding at a key's place.
   *
   * @param key the key
   * @param message what is wrong
   */
  public void reportAt(final String key, final String message) {
    final TomlPosition at = table.inputPositionOf(List.of(key));
    report(at == null ? position : at, message);
  }

  /**
   * Adds a finding at the table's place.
   *
   * @param message what is wrong
   */
  public void report(final String message) {
    report(position, message);
  }

  private void report(final TomlPosition at, final String message) {
    final TomlPosition place = at == null ? position : at;
    findings.add(new Finding(source, place.line(), place.column(), message));
  }

  /** Reports the unknown keys of this table and of all tables read from it. */
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
