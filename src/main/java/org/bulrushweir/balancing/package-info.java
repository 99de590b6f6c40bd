/**
 * Selects the endpoints for requests that a router sends directly, by the load, the prefix caches
 * and the health of the endpoints as this router and its peers observe them.
 */
package org.bulrushweir.balancing;
