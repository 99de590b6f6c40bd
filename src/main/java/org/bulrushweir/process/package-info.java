/** Puts the processes of the fleet together out of their services. */
package org.bulrushweir.process;
