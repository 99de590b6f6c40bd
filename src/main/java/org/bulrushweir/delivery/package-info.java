/**
 * Decides, without I/O, how an answer reaches its caller: attempts, resumption, proofs that an
 * attempt was not run.
 */
package org.bulrushweir.delivery;
