package org.bulrushweir.soak;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.Arrays;
import java.util.Random;

/** Writes the last answer of a connection once more: between answers, never inside one. */
final class Stutter {

  /** How long an idle connection may wait for the copy, in milliseconds. */
  private static final int MAX_IDLE_MS = 60;

  /** Half of the copies that are cut off end within so many bytes, mostly in their heads. */
  private static final int HEAD_BYTES = 150;

  private final Socket socket;
  private final Random random;
  private final History history;
  private byte[] copy;
  private boolean tainted;

  /**
   * Prepares for the answers of a connection.
   *
   * @param socket the connection
   * @param random chooses what is repeated when
   * @param history counts the copies
   */
  Stutter(final Socket socket, final Random random, final History history) {
    this.history = history;
    this.socket = socket;
    this.random = random;
  }

  /** Returns whether a copy was written, so that the gateway may give this connection up. */
  boolean isTainted() {
    return tainted;
  }

  /**
   * Takes an answer that was just written, to repeat it at once or later.
   *
   * @param answer the bytes of the answer
   * @throws IOException if the connection breaks
   */
  void repeat(final byte[] answer) throws IOException {
    tainted = true;
    final int most = random.nextBoolean() ? answer.length : Math.min(answer.length, HEAD_BYTES);
    copy = random.nextInt(3) == 0 ? answer : Arrays.copyOf(answer, 1 + random.nextInt(most));
    if (random.nextInt(3) == 0) {
      writeCopy();
    }
  }

  /** Waits for a request, and may write the copy while the connection is idle. */
  HttpHead awaitHead(final BufferedInputStream input) throws IOException {
    if (copy != null && random.nextBoolean()) {
      awaitIdle(input);
    }
    return HttpHead.read(input);
  }

  private void awaitIdle(final BufferedInputStream input) throws IOException {
    socket.setSoTimeout(1 + random.nextInt(MAX_IDLE_MS));
    input.mark(1);
    try {
      input.read();
      input.reset();
    } catch (SocketTimeoutException e) {
      writeCopy();
    } finally {
      socket.setSoTimeout(0);
    }
  }

  /** Writes the copy if it is still to be written. */
  void writeCopy() throws IOException {
    if (copy != null) {
      final byte[] bytes = copy;
      copy = null;
      socket.getOutputStream().write(bytes);
      history.repeated();
    }
  }
}
