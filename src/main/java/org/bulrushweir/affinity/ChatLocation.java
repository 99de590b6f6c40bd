package org.bulrushweir.affinity;

import org.bulrushweir.api.EndpointId;

/**
 * The endpoint that last ran a request of a chat or received its KV cache.
 *
 * @param endpoint the endpoint
 * @param tokens the number of tokens of the chat in its KV cache at that time, zero if unknown
 * @param lastUsedMs the time of that request or transfer, in Unix milliseconds; a {@link
 *     ChatLocationMap} rounds it down to 100 ms
 */
public record ChatLocation(EndpointId endpoint, int tokens, long lastUsedMs) {}
