/** The time line of events over all processes, ordered by a hybrid logical clock. */
package org.bulrushweir.timeline;
