/**
 * Decides, without I/O, whether a request that must not repeat may run, by a claim in the table.
 */
package org.bulrushweir.runonce;
