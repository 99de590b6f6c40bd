package org.bulrushweir.wire;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;

import java.util.SplittableRandom;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Tests the transport of datagrams. */
class DatagramTransportTest {

  private static final String HOST = "127.0.0.1";

  /** A report of a gateway with some hundred placements. */
  private static final int LARGE_BYTES = 30_000;

  @Test
  void largeDatagramArrivesWhole() throws InterruptedException {
    final BlockingQueue<byte[]> received = new LinkedBlockingQueue<>();
    final byte[] content = new byte[LARGE_BYTES];
    new SplittableRandom(1).nextBytes(content);
    try (DatagramTransport receiver = DatagramTransport.bind(HOST, 0, received::add);
        DatagramTransport sender = DatagramTransport.bind(HOST, 0, datagram -> {})) {
      sender.send(HOST, receiver.port(), content);
      assertArrayEquals(content, received.poll(5, TimeUnit.SECONDS));
    }
  }
}
