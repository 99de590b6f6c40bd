package org.bulrushweir.wire;

import com.google.common.net.HostAndPort;
import com.google.common.net.InetAddresses;

/**
 * An address that connections can be opened to.
 *
 * @param host the IP number, without a scope
 * @param port the port, not zero
 */
public record RemoteAddress(String host, int port) {

  private static final int MAX_PORT = 65_535;

  /**
   * Validates the address. Names are not allowed: resolving one would block the caller.
   *
   * @throws IllegalArgumentException if the host is no IP number or the port is out of range
   */
  public RemoteAddress {
    if (host.indexOf('%') >= 0 || !InetAddresses.isInetAddress(host)) {
      throw new IllegalArgumentException("\"" + host + "\" is not an IP number");
    }
    if (port < 1 || port > MAX_PORT) {
      throw new IllegalArgumentException("the port " + port + " is out of range");
    }
  }

  /**
   * Reads an address.
   *
   * @param text the address as {@code host:port}
   * @return the address
   * @throws IllegalArgumentException if the text is no usable address
   */
  public static RemoteAddress parse(final String text) {
    final HostAndPort parsed = HostAndPort.fromString(text);
    return new RemoteAddress(parsed.getHost(), parsed.getPortOrDefault(0));
  }
}
