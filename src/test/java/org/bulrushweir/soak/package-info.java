/**
 * A randomized soak of gateways that run as separate processes, with faults injected from outside.
 */
package org.bulrushweir.soak;
