/**
 * Defines the HTTP protocol of model engines and the client with which a sidecar calls its
 * endpoint.
 */
package org.bulrushweir.engine;
