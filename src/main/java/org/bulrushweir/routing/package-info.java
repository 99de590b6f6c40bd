/** Decides, without I/O, which endpoints a request tries, and in which order. */
package org.bulrushweir.routing;
