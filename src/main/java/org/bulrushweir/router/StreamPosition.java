package org.bulrushweir.router;

import org.bulrushweir.api.EndpointId;
import org.bulrushweir.api.Identifiers;
import org.bulrushweir.api.RequestId;

/**
 * Identifies the last part of a streamed answer that a caller has received. Its text form is the id
 * of each server-sent event; with it a caller can resume the stream at any router.
 *
 * @param endpoint the endpoint that generates the answer
 * @param incarnation the incarnation of the endpoint's sidecar
 * @param request the id of the request
 * @param attempt the number of the attempt
 * @param sequence the sequence number of the part
 */
record StreamPosition(
    EndpointId endpoint, long incarnation, RequestId request, int attempt, int sequence) {

  private static final String SEPARATOR = "~";
  private static final int FIELDS = 5;
  private static final int HEX_RADIX = 16;

  /**
   * Parses the id of a server-sent event.
   *
   * @param text the text
   * @return the position
   * @throws IllegalArgumentException if the text is not such an id
   */
  static StreamPosition parse(final String text) {
    final String[] fields = text.split(SEPARATOR);
    if (fields.length != FIELDS || !Identifiers.isValid(fields[0])) {
      throw new IllegalArgumentException("not the id of an event of this fleet: " + text);
    }
    final StreamPosition position =
        new StreamPosition(
            new EndpointId(fields[0]),
            Long.parseUnsignedLong(fields[1], HEX_RADIX),
            RequestId.parse(fields[2]),
            Integer.parseInt(fields[3]),
            Integer.parseInt(fields[4]));
    if (position.attempt < 0 || position.sequence < 0 || position.sequence == Integer.MAX_VALUE) {
      throw new IllegalArgumentException("an event of this fleet can't have the id " + text);
    }
    return position;
  }

  @Override
  public String toString() {
    return String.join(
        SEPARATOR,
        endpoint.value(),
        Long.toHexString(incarnation),
        request.toString(),
        Integer.toString(attempt),
        Integer.toString(sequence));
  }
}
