/** Replays of the two users' traces against stated targets and baselines. */
package org.bulrushweir.replay;
