/** Connections between the fleet's processes: length-prefixed protobuf envelopes over TCP. */
package org.bulrushweir.wire;
