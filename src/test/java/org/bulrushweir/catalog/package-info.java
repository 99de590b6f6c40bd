/** Tests of plans and the directory of endpoints. */
package org.bulrushweir.catalog;
