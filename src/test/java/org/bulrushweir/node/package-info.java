/** Tests of the parts that all processes of a fleet have. */
package org.bulrushweir.node;
