/** Tests of the endpoint selection and of the retry budget. */
package org.bulrushweir.balancing;
