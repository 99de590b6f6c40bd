/** Tests of the choice of endpoints. */
package org.bulrushweir.routing;
