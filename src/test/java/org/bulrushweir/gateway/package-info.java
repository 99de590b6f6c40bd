/** Tests of gateways on real sockets, against stand-ins. */
package org.bulrushweir.gateway;
