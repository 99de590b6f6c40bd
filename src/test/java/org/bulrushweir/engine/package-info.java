/** Tests of the client of an endpoint. */
package org.bulrushweir.engine;
