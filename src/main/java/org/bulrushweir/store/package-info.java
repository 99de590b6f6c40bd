/** The port to what the platform keeps: rows, objects, the list of VMs, and what changes there. */
package org.bulrushweir.store;
