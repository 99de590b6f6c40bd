/** Traces of callers' requests and of what happened to endpoints, as JSON lines. */
package org.bulrushweir.trace;
