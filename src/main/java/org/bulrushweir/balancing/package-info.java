/**
 * Selects the endpoints for requests that a gateway sends directly, by the load, the prefix caches
 * and the health of the endpoints as this gateway and its peers observe them.
 */
package org.bulrushweir.balancing;
