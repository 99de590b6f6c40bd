/**
 * Replays traces against the real decisions, with a virtual clock and a small model of how long an
 * engine takes.
 */
package org.bulrushweir.replay;
