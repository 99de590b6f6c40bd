package org.bulrushweir.router;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Describes to a caller why its request failed, in the format of RFC 9457 (problem details).
 *
 * @param type the URI of the kind of problem
 * @param title a short description of the kind of problem
 * @param status the HTTP status code
 * @param detail a description of this occurrence
 * @param request the id of the request
 * @param runState whether the request ran: {@code ran}, {@code not-run} or {@code unknown}
 * @param retryAfterMs the time after which a retry may succeed, in milliseconds; null if unknown
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

  /** The media type of problem details. */
  static final String MEDIA_TYPE = "application/problem+json";
}
