/**
 * Admission control of an endpoint, free of I/O: which attempts it accepts and in which order they
 * run.
 */
package org.bulrushweir.admission;
