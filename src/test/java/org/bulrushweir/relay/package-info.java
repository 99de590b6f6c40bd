/** Tests of the processing of single requests. */
package org.bulrushweir.relay;
