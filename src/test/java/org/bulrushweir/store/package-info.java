/** Tests of the decisions on reading the store. */
package org.bulrushweir.store;
