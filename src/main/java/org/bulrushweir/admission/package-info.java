/** Decides, without I/O, which requests an endpoint accepts and in which order they run. */
package org.bulrushweir.admission;
