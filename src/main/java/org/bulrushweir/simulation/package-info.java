/** A queue of events in virtual time, on which decisions are replayed and tested. */
package org.bulrushweir.simulation;
