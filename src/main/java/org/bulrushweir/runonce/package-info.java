/**
 * State machine, free of I/O, that runs a request with an idempotency key at most once, by means of
 * a claim in the platform's store.
 */
package org.bulrushweir.runonce;
