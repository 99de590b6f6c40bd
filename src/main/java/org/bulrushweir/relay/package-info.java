/**
 * Decides how a router processes one request that it sends directly to endpoints: its attempts,
 * retries and deadline, and the final response to the caller.
 */
package org.bulrushweir.relay;
