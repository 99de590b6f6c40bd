import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;

/** Passes bytes on between clients and a gateway, and resets connections when it is told to. */
final class Proxy implements AutoCloseable {

  private static final int PART_BYTES = 16_384;

  private final ServerSocket server;
  private final String host;
  private final int port;
  private final Queue<Connection> connections = new ConcurrentLinkedQueue<>();

  private record Connection(Socket client, Socket gateway) {}

  Proxy(final String host, final int port) throws IOException {
    this.host = host;
    this.port = port;
    this.server = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
    Threads.start("proxy", this::accept);
  }

  int port() {
    return server.getLocalPort();
  }

  /** Resets every other connection. */
  void resetHalf() {
    boolean resets = false;
    for (final Connection connection : connections) {
      resets = !resets;
      if (resets) {
        reset(connection.client());
        reset(connection.gateway());
      }
    }
  }

  private static void reset(final Socket socket) {
    try {
      socket.setSoLinger(true, 0);
      socket.close();
    } catch (IOException e) {
      // The connection has ended by itself, or with the other one.
    }
  }

  private void accept() {
    while (!server.isClosed()) {
      try {
        final Socket client = server.accept();
        final Socket gateway = new Socket(host, port);
        client.setTcpNoDelay(true);
        gateway.setTcpNoDelay(true);
        connections.add(new Connection(client, gateway));
        Threads.start("proxy", () -> copy(client, gateway));
        Threads.start("proxy", () -> copy(gateway, client));
      } catch (IOException e) {
        return;
      }
    }
  }

  private static void copy(final Socket from, final Socket to) {
    final byte[] part = new byte[PART_BYTES];
    try (from;
        to) {
      final InputStream in = from.getInputStream();
      final OutputStream out = to.getOutputStream();
      for (int count = in.read(part); count >= 0; count = in.read(part)) {
        out.write(part, 0, count);
        out.flush();
      }
    } catch (IOException e) {
      // The connection was reset.
    }
  }

  @Override
  public void close() throws IOException {
    server.close();
  }
}
