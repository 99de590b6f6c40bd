/** Tests of the decisions on whose turn it is. */
package org.bulrushweir.dispatch;
