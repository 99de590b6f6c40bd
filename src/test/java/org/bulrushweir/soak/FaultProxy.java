package org.bulrushweir.soak;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Relays TCP connections and delays, resets, refuses or silences them. */
final class FaultProxy implements AutoCloseable {

  /** For how long an end of a link is looked after while nothing may pass, in milliseconds. */
  private static final long HOLD_MS = 10;

  private static final int BACKLOG = 256;

  private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
  private final ServerSocket server;
  private final int targetPort;
  private volatile LinkFault fault = LinkFault.NONE;
  private volatile long delayMs;

  /**
   * Starts a proxy.
   *
   * @param targetPort the port that connections are relayed to
   * @throws IOException if no port can be bound
   */
  FaultProxy(final int targetPort) throws IOException {
    this.targetPort = targetPort;
    this.server = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
    Thread.ofVirtual().start(this::accept);
  }

  int port() {
    return server.getLocalPort();
  }

  /**
   * Changes the fault. The bytes that a silent link holds back go on when it ends.
   *
   * @param newFault the fault from now on
   * @param newDelayMs how long each piece is delayed, in milliseconds
   */
  void misbehaveAs(final LinkFault newFault, final long newDelayMs) {
    delayMs = newDelayMs;
    fault = newFault;
    if (newFault == LinkFault.RESET) {
      resetAll();
    }
  }

  /** Resets the open connections. */
  void resetAll() {
    sockets.forEach(FaultProxy::reset);
  }

  private static void reset(final Socket socket) {
    try {
      socket.setSoLinger(true, 0);
      socket.close();
    } catch (IOException e) {
      // It is closed already.
    }
  }

  private void accept() {
    while (!server.isClosed()) {
      try {
        connect(server.accept());
      } catch (IOException e) {
        // The proxy was closed, or the target refuses connections.
      }
    }
  }

  private void connect(final Socket client) {
    if (fault == LinkFault.RESET) {
      reset(client);
      return;
    }
    final Socket target = new Socket();
    try {
      target.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), targetPort));
      client.setTcpNoDelay(true);
      target.setTcpNoDelay(true);
    } catch (IOException e) {
      reset(client);
      return;
    }
    sockets.add(client);
    sockets.add(target);
    final AtomicInteger open = new AtomicInteger(2);
    Thread.ofVirtual().start(() -> copy(client, target, LinkFault.SILENT_REQUESTS, open));
    Thread.ofVirtual().start(() -> copy(target, client, LinkFault.SILENT_ANSWERS, open));
  }

  private void copy(
      final Socket from, final Socket to, final LinkFault silence, final AtomicInteger open) {
    final byte[] buffer = new byte[16_384];
    try {
      final InputStream input = from.getInputStream();
      final OutputStream output = to.getOutputStream();
      for (int count = input.read(buffer); count >= 0; count = input.read(buffer)) {
        hold(silence);
        output.write(buffer, 0, count);
        output.flush();
      }
      hold(silence);
      to.shutdownOutput();
      if (open.decrementAndGet() == 0) {
        from.close();
        to.close();
      }
    } catch (IOException e) {
      reset(from);
      reset(to);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      if (from.isClosed()) {
        sockets.remove(from);
        sockets.remove(to);
      }
    }
  }

  private void hold(final LinkFault silence) throws InterruptedException {
    if (fault == LinkFault.DELAY) {
      Thread.sleep(delayMs);
    }
    while (fault == silence || fault == LinkFault.SILENT) {
      Thread.sleep(HOLD_MS);
    }
  }

  @Override
  public void close() throws IOException {
    server.close();
    resetAll();
  }
}
