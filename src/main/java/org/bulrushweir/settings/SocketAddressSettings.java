package org.bulrushweir.settings;

import org.bulrushweir.toml.TomlReader;

/**
 * Says where a process listens.
 *
 * @param host the IP number
 * @param port the port, zero for any
 */
public record SocketAddressSettings(String host, int port) {

  private static final int MAXIMUM_PORT = 65_535;
  private static final String IP_NUMBER = "[0-9.]+|[0-9a-fA-F:]+";

  /**
   * Reads the settings.
   *
   * @param reader the table
   * @return the settings
   */
  static SocketAddressSettings read(final TomlReader reader) {
    final String host = reader.text("host", "127.0.0.1");
    if (!host.matches(IP_NUMBER)) {
      reader.reportAt("host", "\"" + host + "\" is not an IP number");
    }
    return new SocketAddressSettings(host, (int) reader.integer("port", 0, 0, MAXIMUM_PORT));
  }

  @Override
  public String toString() {
    return host + ":" + port;
  }
}
