package org.bulrushweir.balancing;

import java.util.OptionalDouble;

/**
 * The load that an endpoint states in a response.
 *
 * @param running the number of requests that it processes
 * @param waiting the number of requests that wait there
 * @param slots the number of requests that it processes concurrently
 * @param pace how many times longer than usual work takes there, empty if it does not say
 */
public record StatedLoad(int running, int waiting, int slots, OptionalDouble pace) {}
