/** Tests of how answers reach callers. */
package org.bulrushweir.delivery;
