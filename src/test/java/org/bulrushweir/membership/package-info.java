/** Tests of what processes tell each other about endpoints. */
package org.bulrushweir.membership;
