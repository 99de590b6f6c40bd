package org.bulrushweir.gateway;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.bulrushweir.testing.RawRequest;
import org.bulrushweir.testing.RawServer;

/** An engine whose list of what it has cached never ends. */
public final class EndlessCacheList implements AutoCloseable {

  private final AtomicInteger requests = new AtomicInteger();
  private final AtomicInteger open = new AtomicInteger();
  private final AtomicLong written = new AtomicLong();
  private final Kind kind;
  private final RawServer server;

  /** What never ends. */
  public enum Kind {
    /** The status line. */
    STATUS_LINE("HTTP/1.1 200 ", "a".repeat(16_384)),
    /** The headers. */
    HEADERS("HTTP/1.1 200 OK\r\n", "X-A: a\r\n".repeat(2_048)),
    /** Informational responses. */
    INFORMATIONAL("", "HTTP/1.1 102 Processing\r\n\r\n".repeat(64)),
    /** Empty lines before a response. */
    EMPTY_LINES("", "\r\n".repeat(8_192)),
    /** The length of a chunk. */
    CHUNK_SIZE("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0".repeat(16_384)),
    /** The list in chunks. */
    LIST(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\n{\"held\":[\r\n",
        "4000\r\n" + "[\"\",\"1\",1,\"m\"],".repeat(1_024) + "\r\n"),
    /** The list, which ends with its connection. */
    UNFRAMED_LIST("HTTP/1.1 200 OK\r\n\r\n{\"held\":[", "[\"\",\"1\",1,\"m\"],".repeat(1_024)),
    /** The body of a failure. */
    FAILURE("HTTP/1.1 500 Failed\r\n\r\n", "a".repeat(16_384));

    private final byte[] start;
    private final byte[] piece;

    Kind(final String start, final String piece) {
      this.start = start.getBytes(StandardCharsets.US_ASCII);
      this.piece = piece.getBytes(StandardCharsets.US_ASCII);
    }
  }

  /**
   * Starts an engine.
   *
   * @param address the loopback address to listen on
   * @param kind what never ends
   * @throws IOException if it can't be started
   */
  public EndlessCacheList(final InetAddress address, final Kind kind) throws IOException {
    this.kind = kind;
    this.server = new RawServer(address, this::serve);
  }

  /**
   * Returns the port.
   *
   * @return the port on its address
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
   * Returns the number of bytes that left this engine.
   *
   * @return the count since the start
   */
  public long written() {
    return written.get();
  }

  private void serve(final Socket socket) throws IOException {
    open.incrementAndGet();
    try {
      RawRequest.read(socket.getInputStream());
      requests.incrementAndGet();
      final OutputStream output = socket.getOutputStream();
      output.write(kind.start);
      while (!server.isClosed()) {
        output.write(kind.piece);
        written.addAndGet(kind.piece.length);
      }
    } finally {
      open.decrementAndGet();
    }
  }

  @Override
  public void close() throws IOException {
    server.close();
  }
}
