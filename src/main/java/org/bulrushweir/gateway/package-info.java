/**
 * The gateway: a router that reaches endpoints directly, on Netty. It carries out what the decision
 * packages decide; all of its state is used on one event loop.
 */
package org.bulrushweir.gateway;
