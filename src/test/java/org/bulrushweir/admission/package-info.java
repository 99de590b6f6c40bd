/** Tests for the admission control of endpoints. */
package org.bulrushweir.admission;
