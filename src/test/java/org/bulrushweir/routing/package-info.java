/** Tests of the selection of endpoints. */
package org.bulrushweir.routing;
