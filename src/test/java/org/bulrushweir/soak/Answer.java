package org.bulrushweir.soak;

/**
 * What an endpoint answers to a request.
 *
 * @param seal its mark, of no other answer
 * @param requestId the request
 * @param run the run that made it; null if the request was refused
 * @param status its status
 * @param body its whole body; empty for a stream
 */
record Answer(String seal, String requestId, EndpointRun run, int status, String body) {}
