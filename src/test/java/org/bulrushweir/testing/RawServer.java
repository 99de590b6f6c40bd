package org.bulrushweir.testing;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;

/** Accepts connections for endpoints that read and write raw bytes. */
public final class RawServer implements AutoCloseable {

  private static final int BACKLOG = 16;

  private final ServerSocket socket;

  /** Serves a connection; it is closed afterwards. */
  @FunctionalInterface
  public interface Handler {

    /**
     * Serves a connection until its end.
     *
     * @param connection the connection
     * @throws IOException if the gateway has closed it
     */
    void serve(Socket connection) throws IOException;
  }

  /**
   * Starts to accept connections.
   *
   * @param handler serves each of them on a thread of its own
   * @throws IOException if there is no free port
   */
  public RawServer(final Handler handler) throws IOException {
    this(InetAddress.getLoopbackAddress(), handler);
  }

  /**
   * Starts to accept connections.
   *
   * @param address the loopback address to listen on
   * @param handler serves each of them on a thread of its own
   * @throws IOException if there is no free port
   */
  public RawServer(final InetAddress address, final Handler handler) throws IOException {
    this.socket = new ServerSocket(0, BACKLOG, address);
    Thread.ofVirtual().start(() -> acceptConnections(handler));
  }

  /**
   * Returns the port.
   *
   * @return the bound port
   */
  public int port() {
    return socket.getLocalPort();
  }

  /**
   * Returns whether the server has ended.
   *
   * @return true once it accepts no more connections
   */
  public boolean isClosed() {
    return socket.isClosed();
  }

  private void acceptConnections(final Handler handler) {
    while (!socket.isClosed()) {
      try {
        final Socket connection = socket.accept();
        Thread.ofVirtual().start(() -> serve(handler, connection));
      } catch (IOException e) {
        return;
      }
    }
  }

  private static void serve(final Handler handler, final Socket connection) {
    try (connection) {
      handler.serve(connection);
    } catch (IOException e) {
      // The gateway has closed the connection.
    }
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
