/** Tests of how requests come to their end. */
package org.bulrushweir.relay;
