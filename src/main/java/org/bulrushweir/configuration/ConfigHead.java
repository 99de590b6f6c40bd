package org.bulrushweir.configuration;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * The row that says which configuration was accepted last.
 *
 * @param number the configuration's number
 * @param digest the SHA-256 digest of its text, in hexadecimal
 * @param nonce identifies the submission that was accepted
 */
public record ConfigHead(
    @JsonProperty("number") long number,
    @JsonProperty("digest") String digest,
    @JsonProperty("nonce") String nonce) {

  /** The key of the row. */
  public static final String ROW_KEY = "config/head";

  /**
   * Returns the key of the object that holds the text.
   *
   * @return the object's key
   */
  public String objectKey() {
    return "config/" + number + "/" + digest;
  }
}
