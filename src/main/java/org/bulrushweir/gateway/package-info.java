/**
 * The gateway: a router that connects to endpoints directly. It implements the I/O on Netty and
 * executes the decisions of the packages {@code relay} and {@code balancing}; all of its state is
 * confined to one event loop.
 */
package org.bulrushweir.gateway;
