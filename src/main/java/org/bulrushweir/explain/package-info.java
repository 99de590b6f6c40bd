/** Describes where a gateway would send a request now, as JSON for programs and text for people. */
package org.bulrushweir.explain;
