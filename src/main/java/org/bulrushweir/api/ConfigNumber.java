package org.bulrushweir.api;

/**
 * Numbers the accepted configurations; each accepted text has the next number.
 *
 * @param value the number, zero while no configuration is known
 */
public record ConfigNumber(long value) implements Comparable<ConfigNumber> {

  /** Stands for no configuration at all. */
  public static final ConfigNumber NONE = new ConfigNumber(0);

  /**
   * Checks the number.
   *
   * @throws IllegalArgumentException if it is negative
   */
  public ConfigNumber {
    if (value < 0) {
      throw new IllegalArgumentException("a configuration number is not negative: " + value);
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
   * Tells whether this configuration replaces another.
   *
   * @param other the other number
   * @return true if this number is the greater
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
