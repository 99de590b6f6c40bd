package org.bulrushweir.platform;

import com.fasterxml.jackson.core.JsonProcessingException;
import org.bulrushweir.store.PlatformException;

/**
 * Holds an answer of the store.
 *
 * @param status the HTTP status
 * @param body the body
 * @param era the store's era
 */
record StoreReply(int status, String body, long era) {

  static final int STATUS_OK = 200;
  static final int STATUS_NOT_FOUND = 404;
  static final int STATUS_GONE = 410;
  static final int STATUS_PRECONDITION_FAILED = 412;
  private static final int STATUS_TOO_MANY = 429;
  private static final int STATUS_UNAVAILABLE = 503;

  /**
   * Requires a success.
   *
   * @return this answer
   * @throws PlatformException if the status is another one
   */
  StoreReply requireOk() {
    if (status != STATUS_OK) {
      throw unexpected();
    }
    return this;
  }

  /**
   * Describes a status that the caller can't use.
   *
   * @return the exception; it says that there was no effect if the store refused the call
   */
  PlatformException unexpected() {
    final boolean refused = status == STATUS_UNAVAILABLE || status == STATUS_TOO_MANY;
    return new PlatformException(
        "the platform answered with status " + status + ": " + body, !refused, null);
  }

  /**
   * Reads the rows in the body.
   *
   * @return the rows
   * @throws PlatformException if the body is not JSON
   */
  StoreMessages.RowsMessage rows() {
    try {
      return StoreMessages.rows(JsonReader.MAPPER.readTree(body));
    } catch (JsonProcessingException e) {
      throw new PlatformException("the platform's answer is malformed", true, e);
    }
  }
}
