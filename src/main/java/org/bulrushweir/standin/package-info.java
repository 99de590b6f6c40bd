/**
 * Small stand-ins for the platform, model engines and plain services, used by tests, the demo and
 * local fleets.
 */
package org.bulrushweir.standin;
