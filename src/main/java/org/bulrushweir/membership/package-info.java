/**
 * Decides, without I/O, what a process knows of the fleet's endpoints and what it tells its peers,
 * under a byte budget.
 */
package org.bulrushweir.membership;
