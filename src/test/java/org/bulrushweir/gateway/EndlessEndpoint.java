package org.bulrushweir.gateway;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.bulrushweir.testing.RawRequest;
import org.bulrushweir.testing.RawServer;

/**
 * An endpoint that answers each request with bytes that never end. It gives no list of its cache.
 */
public final class EndlessEndpoint implements AutoCloseable {

  /** The time after which a connection of the gateway is idle, in milliseconds. */
  private static final long PAUSE_MS = 300;

  private static final String CACHE_LIST = "GET /kv-list ";

  private final AtomicLong written = new AtomicLong();
  private final AtomicInteger requests = new AtomicInteger();
  private final AtomicInteger open = new AtomicInteger();
  private final EndlessBytes bytes;
  private final RawServer server;

  /**
   * Starts an endpoint.
   *
   * @param bytes what it sends
   * @throws IOException if it can't be started
   */
  public EndlessEndpoint(final EndlessBytes bytes) throws IOException {
    this.bytes = bytes;
    this.server = new RawServer(this::serve);
  }

  /**
   * Returns the port.
   *
   * @return the port on loopback
   */
  public int port() {
    return server.port();
  }

  /**
   * Returns the number of requests.
   *
   * @return the count since the start
   */
  public int requests() {
    return requests.get();
  }

  /**
   * Returns the number of open connections.
   *
   * @return the count at this moment
   */
  public int openConnections() {
    return open.get();
  }

  /**
   * Returns the number of bytes without end that left this endpoint.
   *
   * @return the count since the start
   */
  public long written() {
    return written.get();
  }

  private void serve(final Socket socket) throws IOException {
    open.incrementAndGet();
    try {
      answer(socket);
    } finally {
      open.decrementAndGet();
    }
  }

  private void answer(final Socket socket) throws IOException {
    final RawRequest request = RawRequest.read(socket.getInputStream());
    if (request.text().startsWith(CACHE_LIST)) {
      return;
    }
    socket.getInputStream().readNBytes(request.contentLength());
    requests.incrementAndGet();
    final OutputStream output = socket.getOutputStream();
    output.write(bytes.start(request.id()));
    if (bytes.place() == EndlessBytes.Place.WHILE_IDLE) {
      pause();
    }
    final byte[] piece = bytes.piece();
    if (piece.length == 0) {
      socket.getInputStream().readAllBytes();
      return;
    }
    while (!server.isClosed()) {
      output.write(piece);
      written.addAndGet(piece.length);
    }
  }

  private static void pause() {
    try {
      Thread.sleep(PAUSE_MS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public void close() throws IOException {
    server.close();
  }
}
