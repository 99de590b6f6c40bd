package org.bulrushweir.store;

/**
 * Holds a row of the platform's table as it was read.
 *
 * @param key the row's key
 * @param version the row's version, zero if the row is absent
 * @param value the row's value, empty if the row is absent
 * @param readAtMs when it was read, by the platform's clock, in milliseconds, zero if unknown
 */
public record Row(String key, long version, String value, long readAtMs) {

  /**
   * Describes a row that does not exist.
   *
   * @param key the row's key
   * @return the absent row
   */
  public static Row absent(final String key) {
    return new Row(key, 0, "", 0);
  }

  /**
   * Tells whether the row exists.
   *
   * @return true if it exists
   */
  public boolean exists() {
    return version != 0;
  }
}
