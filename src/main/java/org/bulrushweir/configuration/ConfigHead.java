package org.bulrushweir.configuration;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Says which submission has got a configuration number. The head row holds the last one; each
 * number has a row of its own besides.
 *
 * @param number the configuration's number
 * @param digest the SHA-256 digest of its text, in hexadecimal
 * @param nonce identifies the submission that was accepted
 */
public record ConfigHead(
    @JsonProperty("number") long number,
    @JsonProperty("digest") String digest,
    @JsonProperty("nonce") String nonce) {

  /** The key of the head row. */
  public static final String ROW_KEY = "config/head";

  /**
   * Returns the key of a number's own row.
   *
   * @param number the number
   * @return the key
   */
  public static String numberKey(final long number) {
    return "config/number/" + number;
  }

  /**
   * Returns the key of the object that holds the text.
   *
   * @return the object's key
   */
  public String objectKey() {
    return "config/" + number + "/" + digest;
  }
}
