/** Measures what the fleet's state and decisions cost, for docs/CAPACITY.md. */
package org.bulrushweir.capacity;
