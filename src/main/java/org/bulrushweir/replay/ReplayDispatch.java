package org.bulrushweir.replay;

import java.util.List;
import org.bulrushweir.api.AttemptKey;
import org.bulrushweir.api.EndpointId;
import org.bulrushweir.declaration.WorkClass;
import org.bulrushweir.membership.AgedReport;
import org.bulrushweir.trace.TraceRecord;

/**
 * Asks a replayed endpoint to run an attempt.
 *
 * @param key the attempt
 * @param chat the request
 * @param workClass its class of work
 * @param continuationTokens how many tokens the caller has already
 * @param cacheExpected whether the caller says that the chat ran here last
 * @param cacheAt the endpoint that has the chat's cache, null if unknown
 * @param firstTokenMs what is left until the first token is due, in milliseconds
 * @param reports reports that ride on the message
 * @param request where answers go
 */
record ReplayDispatch(
    AttemptKey key,
    TraceRecord.ChatRequested chat,
    WorkClass workClass,
    int continuationTokens,
    boolean cacheExpected,
    EndpointId cacheAt,
    long firstTokenMs,
    List<AgedReport> reports,
    ReplayRequest request) {}
