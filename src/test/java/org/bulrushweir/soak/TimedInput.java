package org.bulrushweir.soak;

import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.function.LongSupplier;

/** Reads from a socket up to a point in time. */
final class TimedInput extends FilterInputStream {

  private final Socket socket;
  private final long limitMs;
  private final LongSupplier clock;

  /**
   * Limits the time of reads.
   *
   * @param input the input of the socket
   * @param socket the socket
   * @param limitMs when reads end
   * @param clock tells the time
   */
  TimedInput(
      final InputStream input, final Socket socket, final long limitMs, final LongSupplier clock) {
    super(input);
    this.socket = socket;
    this.limitMs = limitMs;
    this.clock = clock;
  }

  private void limit() throws IOException {
    final long leftMs = limitMs - clock.getAsLong();
    if (leftMs <= 0) {
      throw new SocketTimeoutException("the time is over");
    }
    socket.setSoTimeout((int) leftMs);
  }

  @Override
  public int read() throws IOException {
    if (in.available() == 0) {
      limit();
    }
    return in.read();
  }

  @Override
  public int read(final byte[] bytes, final int offset, final int length) throws IOException {
    limit();
    return in.read(bytes, offset, length);
  }
}
