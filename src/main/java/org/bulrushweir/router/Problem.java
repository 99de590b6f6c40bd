package org.bulrushweir.router;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Tells a caller what went wrong, in the form of RFC 9457.
 *
 * @param type identifies the kind of problem
 * @param title the kind of problem in words
 * @param status the HTTP status
 * @param detail what happened
 * @param request the request's id
 * @param runState whether the request ran: {@code ran}, {@code not-run} or {@code unknown}
 * @param retryAfterMs when another try may succeed, in milliseconds, null if unknown
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
record Problem(
    @JsonProperty("type") String type,
    @JsonProperty("title") String title,
    @JsonProperty("status") int status,
    @JsonProperty("detail") String detail,
    @JsonProperty("request") String request,
    @JsonProperty("run_state") String runState,
    @JsonProperty("retry_after_ms") Long retryAfterMs) {

  /** The media type of problems. */
  static final String MEDIA_TYPE = "application/problem+json";
}
