/** Tests of the routing plan and of the endpoint directory. */
package org.bulrushweir.catalog;
