package org.bulrushweir.command;

import joptsimple.OptionParser;
import joptsimple.OptionSet;

/** The options that all stand-ins have in common. */
final class StandInOptions {

  private static final String HOST = "host";
  private static final String PORT = "port";

  private StandInOptions() {}

  /**
   * Declares the options.
   *
   * @param parser where they are declared
   */
  static void declareAddress(final OptionParser parser) {
    parser.accepts(HOST, "the IP number to bind").withRequiredArg().defaultsTo("127.0.0.1");
    parser
        .accepts(PORT, "the port, 0 for any")
        .withRequiredArg()
        .ofType(Integer.class)
        .defaultsTo(0);
  }

  /**
   * Returns the IP number to bind.
   *
   * @param options the parsed options
   * @return the IP number
   */
  static String host(final OptionSet options) {
    return (String) options.valueOf(HOST);
  }

  /**
   * Returns the port.
   *
   * @param options the parsed options
   * @return the port
   */
  static int port(final OptionSet options) {
    return (Integer) options.valueOf(PORT);
  }
}
