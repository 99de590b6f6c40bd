/** The sidecar: the one place that all requests for an endpoint pass. */
package org.bulrushweir.sidecar;
