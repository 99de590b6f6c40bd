/** Tests of the log. */
package org.bulrushweir.logging;
