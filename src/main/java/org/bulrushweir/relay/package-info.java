/**
 * Decides how one request that a router sends directly to endpoints comes to its end: first
 * attempt, repeats, time limits and what the caller is told.
 */
package org.bulrushweir.relay;
