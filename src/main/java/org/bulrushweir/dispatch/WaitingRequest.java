package org.bulrushweir.dispatch;

/**
 * A request in the queue.
 *
 * @param request the request
 * @param queuedMs the time since which it waits, in Unix milliseconds
 * @param estimatedMs the wait that was expected then, in milliseconds
 */
public record WaitingRequest(DispatchRequest request, long queuedMs, long estimatedMs) {}
