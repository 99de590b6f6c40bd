/** The metrics of a process, by the Prometheus client. */
package org.bulrushweir.metrics;
