/** Tests of the gossip about endpoints and of the load limit that relies on it. */
package org.bulrushweir.membership;
