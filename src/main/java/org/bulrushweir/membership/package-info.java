/**
 * Maintains, without I/O, a process's view of the fleet's endpoints, and composes the gossip
 * messages to its peers within a byte budget.
 */
package org.bulrushweir.membership;
