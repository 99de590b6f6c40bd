/**
 * State machines, free of I/O, for delivering an answer to its caller: attempts, retries, hedges,
 * resumption after a lost connection, and the proof that an attempt was not run.
 */
package org.bulrushweir.delivery;
