/** The HTTP protocol of model engines, and the client with which a sidecar speaks it. */
package org.bulrushweir.engine;
