package org.bulrushweir.relay;

/**
 * The refusal that a caller receives if no endpoint has answered its request.
 *
 * @param reason the reason
 * @param retryAfterMs the delay in milliseconds after which the caller should retry, zero for no
 *     advice
 * @param detail a description of the failure for logs
 */
public record Refusal(RefusalReason reason, long retryAfterMs, String detail) {}
