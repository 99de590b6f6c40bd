/** Decides at a gateway whether a request is sent, waits or is rejected, and whose turn it is. */
package org.bulrushweir.dispatch;
