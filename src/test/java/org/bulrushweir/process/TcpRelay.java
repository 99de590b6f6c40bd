package org.bulrushweir.process;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** Relays TCP connections and can make the open ones go silent without closing them. */
final class TcpRelay implements AutoCloseable {

  private final List<Link> links = new CopyOnWriteArrayList<>();
  private final ServerSocket server;
  private final int targetPort;
  private volatile boolean refusing;

  /**
   * Starts a relay.
   *
   * @param targetPort the port that connections are relayed to
   * @throws IOException if no port can be bound
   */
  TcpRelay(final int targetPort) throws IOException {
    this.targetPort = targetPort;
    this.server = new ServerSocket();
    server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    Thread.ofVirtual().start(this::accept);
  }

  int port() {
    return server.getLocalPort();
  }

  /** Makes the open connections go silent for good; new ones work. */
  void silenceOpenConnections() {
    links.forEach(link -> link.silent = true);
  }

  /**
   * Refuses new connections, or takes them again.
   *
   * @param refuse true to refuse them
   */
  void refuse(final boolean refuse) {
    refusing = refuse;
  }

  int connections() {
    return links.size();
  }

  private void accept() {
    try {
      while (true) {
        final Socket client = server.accept();
        if (refusing) {
          client.close();
        } else {
          connect(client);
        }
      }
    } catch (IOException e) {
      // The relay was closed.
    }
  }

  private void connect(final Socket client) throws IOException {
    final Socket target = new Socket(InetAddress.getLoopbackAddress(), targetPort);
    final Link link = new Link();
    links.add(link);
    Thread.ofVirtual().start(() -> copy(client, target, link));
    Thread.ofVirtual().start(() -> copy(target, client, link));
  }

  private static void copy(final Socket from, final Socket to, final Link link) {
    final byte[] buffer = new byte[8_192];
    try {
      final InputStream input = from.getInputStream();
      final OutputStream output = to.getOutputStream();
      for (int count = input.read(buffer); count >= 0; count = input.read(buffer)) {
        if (!link.silent) {
          output.write(buffer, 0, count);
          output.flush();
        }
      }
      if (!link.silent) {
        to.close();
      }
    } catch (IOException e) {
      closeQuietly(from);
      closeQuietly(to);
    }
  }

  private static void closeQuietly(final Socket socket) {
    try {
      socket.close();
    } catch (IOException e) {
      // Nothing is left to close.
    }
  }

  @Override
  public void close() throws IOException {
    server.close();
  }

  /** One relayed connection. */
  private static final class Link {

    private volatile boolean silent;
  }
}
