/** Tests for model placement and orders to engines. */
package org.bulrushweir.placement;
