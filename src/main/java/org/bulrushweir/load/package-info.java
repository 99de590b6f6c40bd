/** Keeps, without I/O, what a process knows of the loads of a pool of endpoints. */
package org.bulrushweir.load;
