/** Rules that hold between packages. */
package org.bulrushweir.architecture;
