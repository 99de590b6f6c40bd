/** Tests of claims. */
package org.bulrushweir.runonce;
