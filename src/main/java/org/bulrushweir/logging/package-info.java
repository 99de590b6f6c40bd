/** Sets up log records as text or JSON. */
package org.bulrushweir.logging;
