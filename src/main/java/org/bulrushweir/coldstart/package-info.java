/**
 * Limits what all gateways together send to endpoints that are cold. Each gateway decides alone, by
 * a share that depends on which gateways may be running.
 */
package org.bulrushweir.coldstart;
