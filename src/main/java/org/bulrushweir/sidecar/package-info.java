/**
 * Implements the sidecar, the process through which all requests to an endpoint pass: admission,
 * execution of attempts, transfer of KV caches and orders to the engine.
 */
package org.bulrushweir.sidecar;
