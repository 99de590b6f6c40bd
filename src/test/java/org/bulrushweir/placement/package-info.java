/** Tests of orders to engines. */
package org.bulrushweir.placement;
