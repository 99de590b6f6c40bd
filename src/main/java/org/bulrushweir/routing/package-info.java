/** Decides, without I/O, which endpoints are proposed for a request and in which order. */
package org.bulrushweir.routing;
