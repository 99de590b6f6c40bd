package org.bulrushweir.delivery;

/**
 * Status, content type and token counts of a complete answer.
 *
 * @param httpStatus the HTTP status that the endpoint returned
 * @param contentType the content type of a plain service's answer, empty for a chat
 * @param promptTokens the number of prompt tokens
 * @param cachedTokens the number of prompt tokens that the engine found in its prefix cache
 * @param outputTokens the number of generated tokens
 * @param finishReason the engine's reason for ending the answer, as the engine reported it
 * @param replayed whether this is the stored answer of an earlier request with the same idempotency
 *     key
 */
public record AnswerSummary(
    int httpStatus,
    String contentType,
    int promptTokens,
    int cachedTokens,
    int outputTokens,
    String finishReason,
    boolean replayed) {}
