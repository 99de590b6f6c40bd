package org.bulrushweir.relay;

/**
 * Says what a caller is told when no endpoint has answered.
 *
 * @param reason the reason
 * @param retryAfterMs when to come again, in milliseconds, zero for no advice
 * @param detail what happened, for logs
 */
public record Refusal(RefusalReason reason, long retryAfterMs, String detail) {}
