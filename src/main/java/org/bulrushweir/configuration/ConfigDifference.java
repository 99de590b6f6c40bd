package org.bulrushweir.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import java.util.TreeSet;
import org.tomlj.Toml;

/** Compares two configuration texts key by key. */
public final class ConfigDifference {

  /**
   * The key of the number that a text was edited from; it is left out, since it is not a setting.
   */
  private static final String BASE_KEY = "base";

  private ConfigDifference() {}

  /**
   * Lists the differences between two texts.
   *
   * @param before the earlier text
   * @param after the later text
   * @return a line for each key whose value differs, sorted by key
   */
  public static List<String> describe(final String before, final String after) {
    final Map<String, String> old = flatten(before);
    final Map<String, String> current = flatten(after);
    final TreeSet<String> keys = new TreeSet<>(old.keySet());
    keys.addAll(current.keySet());
    final List<String> lines = new ArrayList<>();
    for (final String key : keys) {
      final String oldValue = old.get(key);
      final String newValue = current.get(key);
      if (oldValue == null) {
        lines.add(key + " = " + newValue + " (added)");
      } else if (newValue == null) {
        lines.add(key + " (removed)");
      } else if (!oldValue.equals(newValue)) {
        lines.add(key + " = " + newValue + " (was " + oldValue + ")");
      }
    }
    return lines;
  }

  private static Map<String, String> flatten(final String text) {
    final Map<String, String> values = new TreeMap<>();
    Toml.parse(text)
        .dottedEntrySet()
        .forEach(entry -> values.put(entry.getKey(), Objects.toString(plain(entry.getValue()))));
    values.remove(BASE_KEY);
    return values;
  }

  private static Object plain(final Object value) {
    return value instanceof org.tomlj.TomlArray array ? array.toList() : value;
  }
}
