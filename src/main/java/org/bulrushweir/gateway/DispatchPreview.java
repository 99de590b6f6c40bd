package org.bulrushweir.gateway;

import org.bulrushweir.dispatch.DispatchDecision;
import org.bulrushweir.dispatch.ServiceLoad;

/**
 * What would happen to a request that arrived now.
 *
 * @param decision the decision
 * @param load the load of the service that it rests on
 * @param waiting the requests that wait at this gateway for the service
 */
record DispatchPreview(DispatchDecision decision, ServiceLoad load, int waiting) {}
