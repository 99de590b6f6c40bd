/** The micro-kernel: builds the services of a process by name, starts and stops them in order. */
package org.bulrushweir.kernel;
