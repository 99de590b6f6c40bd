/** The services that routers and sidecars have in common. */
package org.bulrushweir.node;
