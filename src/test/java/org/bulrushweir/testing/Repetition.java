package org.bulrushweir.testing;

import java.util.Arrays;
import java.util.stream.Stream;

/**
 * How a faulty server writes an answer a second time.
 *
 * @param moment when
 * @param extent how much of it
 */
public record Repetition(Moment moment, Extent extent) {

  /** The moment of a second answer. */
  public enum Moment {
    /** Directly after the answer. */
    WITH_THE_ANSWER,

    /** While the connection is idle. */
    WHILE_IDLE,

    /** After the next request on the connection, before the answer to it. */
    AFTER_THE_NEXT_REQUEST
  }

  /** The part of an answer that is written before it breaks off. */
  public enum Extent {
    /** Nothing; the server is sound. */
    NOTHING,

    /** The start of the status line. */
    START,

    /** The status line. */
    STATUS_LINE,

    /** The head without the empty line after it. */
    HEADERS,

    /** The head. */
    HEAD,

    /** The head and half of the body. */
    HALF_OF_THE_BODY,

    /** The whole answer. */
    WHOLE
  }

  /** The repetition of a server that is sound. */
  public static final Repetition NONE = new Repetition(Moment.WITH_THE_ANSWER, Extent.NOTHING);

  private static final int START_BYTES = 5;

  /**
   * Returns all repetitions.
   *
   * @return each moment with each extent but nothing
   */
  public static Stream<Repetition> all() {
    return Arrays.stream(Moment.values())
        .flatMap(
            moment ->
                Arrays.stream(Extent.values())
                    .filter(extent -> extent != Extent.NOTHING)
                    .map(extent -> new Repetition(moment, extent)));
  }

  /**
   * Cuts an answer off.
   *
   * @param answer the answer
   * @return the bytes of the second answer
   */
  byte[] cut(final RawAnswer answer) {
    final byte[] whole = answer.bytes();
    final int head = answer.head().length();
    final int length =
        switch (extent) {
          case NOTHING -> 0;
          case START -> START_BYTES;
          case STATUS_LINE -> answer.head().indexOf('\n') + 1;
          case HEADERS -> head - 2;
          case HEAD -> head;
          case HALF_OF_THE_BODY -> head + answer.body().length() / 2;
          case WHOLE -> whole.length;
        };
    return Arrays.copyOf(whole, length);
  }
}
