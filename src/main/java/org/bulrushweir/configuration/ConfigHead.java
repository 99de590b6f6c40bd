package org.bulrushweir.configuration;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * The submission to which a configuration number was assigned. The head row holds the latest one;
 * in addition, each number has a row of its own.
 *
 * @param number the configuration's number
 * @param digest the SHA-256 digest of the configuration's text, in hexadecimal
 * @param nonce the nonce of the accepted submission
 */
public record ConfigHead(
    @JsonProperty("number") long number,
    @JsonProperty("digest") String digest,
    @JsonProperty("nonce") String nonce) {

  /** The key of the head row. */
  public static final String ROW_KEY = "config/head";

  /**
   * Returns the key of the row of a configuration number.
   *
   * @param number the number
   * @return the row's key
   */
  public static String numberKey(final long number) {
    return "config/number/" + number;
  }

  /**
   * Returns the key of the object that holds the configuration's text.
   *
   * @return the object's key
   */
  public String objectKey() {
    return "config/" + number + "/" + digest;
  }
}
