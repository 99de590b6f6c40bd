/**
 * Tests of the gateway, partly over real sockets against stand-ins for endpoints and the platform.
 */
package org.bulrushweir.gateway;
