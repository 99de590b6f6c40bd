/** A queue of events in virtual time, which tests of decisions run on. */
package org.bulrushweir.simulation;
