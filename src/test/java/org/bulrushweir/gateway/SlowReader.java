package org.bulrushweir.gateway;

import java.io.IOException;
import java.net.Socket;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import org.bulrushweir.testing.RawRequest;
import org.bulrushweir.testing.RawServer;

/** An endpoint that reads the heads of requests and their bodies only once it is told to. */
final class SlowReader implements AutoCloseable {

  private final CountDownLatch reads = new CountDownLatch(1);
  private final AtomicInteger heads = new AtomicInteger();
  private final Queue<Long> completedMs = new ConcurrentLinkedQueue<>();
  private final RawServer server = new RawServer(this::serve);

  SlowReader() throws IOException {}

  int port() {
    return server.port();
  }

  /** Lets the endpoint read bodies. */
  void readBodies() {
    reads.countDown();
  }

  /** Returns the number of requests whose heads have arrived. */
  int heads() {
    return heads.get();
  }

  /** Returns the number of requests that were complete only after a time, in Unix milliseconds. */
  long completedAfter(final long boundMs) {
    return completedMs.stream().filter(atMs -> atMs > boundMs).count();
  }

  private void serve(final Socket socket) throws IOException {
    final RawRequest request = RawRequest.read(socket.getInputStream());
    heads.incrementAndGet();
    try {
      reads.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    if (socket.getInputStream().readNBytes(request.contentLength()).length
        == request.contentLength()) {
      completedMs.add(System.currentTimeMillis());
    }
  }

  @Override
  public void close() throws IOException {
    server.close();
  }
}
