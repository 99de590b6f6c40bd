package org.bulrushweir.affinity;

import org.bulrushweir.api.EndpointId;

/**
 * Says where a chat ran last.
 *
 * @param endpoint the endpoint
 * @param tokens how many tokens of the chat it had in its cache then, zero if unknown
 * @param lastUsedMs when that was, in milliseconds
 */
public record ChatLocation(EndpointId endpoint, int tokens, long lastUsedMs) {}
