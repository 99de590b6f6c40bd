package org.bulrushweir.settings;

import org.bulrushweir.toml.TomlReader;

/**
 * Describes an address on which a process listens.
 *
 * @param host the IP address
 * @param port the port; zero for any free port
 */
public record SocketAddressSettings(String host, int port) {

  private static final int MAXIMUM_PORT = 65_535;
  private static final String IP_ADDRESS = "[0-9.]+|[0-9a-fA-F:]+";

  /**
   * Reads an address from a table.
   *
   * @param reader the reader of the table
   * @return the address
   */
  static SocketAddressSettings read(final TomlReader reader) {
    final String host = reader.text("host", "127.0.0.1");
    if (!host.matches(IP_ADDRESS)) {
      reader.reportAt("host", "\"" + host + "\" is not an IP address");
    }
    return new SocketAddressSettings(host, (int) reader.integer("port", 0, 0, MAXIMUM_PORT));
  }

  @Override
  public String toString() {
    return host + ":" + port;
  }
}
