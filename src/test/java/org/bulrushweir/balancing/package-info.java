/** Tests of the choice of endpoints and of the repeat budget. */
package org.bulrushweir.balancing;
