/** Decides, without I/O, which models an engine has loaded and how it is ordered to load them. */
package org.bulrushweir.placement;
