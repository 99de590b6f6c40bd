package org.bulrushweir.delivery;

/**
 * Describes an answer that has ended.
 *
 * @param httpStatus the endpoint's HTTP status
 * @param contentType the content type of a plain service's answer
 * @param promptTokens tokens of the prompt
 * @param cachedTokens tokens of the prompt that were cached
 * @param outputTokens tokens of the answer
 * @param finishReason why the answer ended, in the engine's words
 * @param replayed true if the answer is the stored one of an earlier run
 */
public record AnswerSummary(
    int httpStatus,
    String contentType,
    int promptTokens,
    int cachedTokens,
    int outputTokens,
    String finishReason,
    boolean replayed) {}
