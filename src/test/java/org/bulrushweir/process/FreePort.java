package org.bulrushweir.process;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;

/**
 * Finds ports that nobody uses. Each test process has a range of its own below the ports that the
 * kernel assigns to connections, so that a port stays free until its user binds it.
 */
public final class FreePort {

  private static final int FIRST_PORT = 11_000;
  private static final int PORTS_PER_FORK = 1_500;
  private static final int FORKS = 14;

  /** Number of this test process, from 1; absent where an IDE runs the tests. */
  private static final int FORK = Integer.getInteger("bulrushweir.fork", 1);

  private static final int RANGE_START = FIRST_PORT + FORK % FORKS * PORTS_PER_FORK;

  /** Offset of the next port to try; starts anywhere, for runs of the tests side by side. */
  private static int offset = (int) (ProcessHandle.current().pid() % PORTS_PER_FORK);

  private FreePort() {}

  /**
   * Finds a free port of the loopback interface. No port is returned again before all others of the
   * range.
   *
   * @return the port
   * @throws IOException if there is none
   */
  public static synchronized int find() throws IOException {
    for (int tries = 0; tries < PORTS_PER_FORK; tries++) {
      offset = (offset + 1) % PORTS_PER_FORK;
      if (isFree(RANGE_START + offset)) {
        return RANGE_START + offset;
      }
    }
    throw new IOException("no free port from " + RANGE_START);
  }

  private static boolean isFree(final int port) {
    try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
      return socket.isBound();
    } catch (IOException e) {
      return false;
    }
  }
}
