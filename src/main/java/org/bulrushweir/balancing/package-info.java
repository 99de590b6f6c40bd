/**
 * Decides which endpoint takes a request that a router sends directly: from loads, prompt caches
 * and health as this router and its peers see them.
 */
package org.bulrushweir.balancing;
