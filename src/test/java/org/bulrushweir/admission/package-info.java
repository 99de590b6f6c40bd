/** Tests of what endpoints accept. */
package org.bulrushweir.admission;
