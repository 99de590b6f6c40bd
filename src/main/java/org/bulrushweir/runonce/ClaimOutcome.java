package org.bulrushweir.runonce;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * The stored answer of a request that ran.
 *
 * @param httpStatus the HTTP status of the answer
 * @param contentType the content type of the answer
 * @param body the body of the answer
 */
public record ClaimOutcome(
    @JsonProperty("http_status") int httpStatus,
    @JsonProperty("content_type") String contentType,
    @JsonProperty("body") byte[] body) {}
