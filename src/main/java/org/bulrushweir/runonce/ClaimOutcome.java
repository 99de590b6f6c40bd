package org.bulrushweir.runonce;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Holds the answer of a request that ran.
 *
 * @param httpStatus the HTTP status
 * @param contentType the content type
 * @param body the body
 */
public record ClaimOutcome(
    @JsonProperty("http_status") int httpStatus,
    @JsonProperty("content_type") String contentType,
    @JsonProperty("body") byte[] body) {}
