package org.bulrushweir.api;

/**
 * Identifies an accepted configuration by its version number. Each newly accepted text gets the
 * number after the current one.
 *
 * @param value the number; zero while no configuration is known
 */
public record ConfigNumber(long value) implements Comparable<ConfigNumber> {

  /** The number while no configuration is known. */
  public static final ConfigNumber NONE = new ConfigNumber(0);

  /**
   * Validates the number.
   *
   * @throws IllegalArgumentException if the number is negative
   */
  public ConfigNumber {
    if (value < 0) {
      throw new IllegalArgumentException("configuration number must not be negative: " + value);
    }
  }

  /**
   * Returns the number that the next accepted configuration gets.
   *
   * @return this number plus one
   */
  public ConfigNumber next() {
    return new ConfigNumber(value + 1);
  }

  /**
   * Returns whether this configuration supersedes another.
   *
   * @param other the number of the other configuration
   * @return true if this number is greater than the other
   */
  public boolean isNewerThan(final ConfigNumber other) {
    return value > other.value;
  }

  @Override
  public int compareTo(final ConfigNumber other) {
    return Long.compare(value, other.value);
  }

  @Override
  public String toString() {
    return Long.toString(value);
  }
}
