/** Tests of the micro-kernel. */
package org.bulrushweir.kernel;
