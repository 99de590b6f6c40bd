/** Tests the connections between our processes. */
package org.bulrushweir.wire;
