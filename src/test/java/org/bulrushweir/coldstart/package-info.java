/** Tests of the limit on what cold endpoints get. */
package org.bulrushweir.coldstart;
