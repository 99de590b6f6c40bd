package org.bulrushweir.process;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;

/** Finds ports that nobody uses. */
final class FreePort {

  private FreePort() {}

  /**
   * Finds a free port of the loopback interface.
   *
   * @return the port
   * @throws IOException if there is none
   */
  static int find() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return socket.getLocalPort();
    }
  }
}
