package org.bulrushweir.gateway;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.nio.charset.StandardCharsets;
import org.bulrushweir.platform.EndpointSide;

/** What a faulty endpoint sends to a request: a start, and then the same piece without end. */
public enum EndlessBytes {
  /** One event of a stream. */
  EVENT(Place.STREAM, Id.OWN, "200 OK", Parts.CHUNKED, Parts.CHUNK),
  /** One event of a stream, a byte in each chunk. */
  EVENT_IN_TINY_CHUNKS(Place.STREAM, Id.OWN, "200 OK", Parts.CHUNKED, Parts.TINY_CHUNKS),

  /** The body of a refusal that proves that the request was not run. */
  REFUSAL(Place.BEFORE_RESPONSE, Id.OWN, "503 Full", Parts.CHUNKED, Parts.CHUNK),
  /** The body of a refusal, of which nothing arrives after its head. */
  SILENT_REFUSAL(Place.BEFORE_RESPONSE, Id.OWN, "503 Full", Parts.CHUNKED, ""),
  /** The body of a response to another request. */
  FOREIGN_BODY(Place.BEFORE_RESPONSE, Id.FOREIGN, "200 OK", Parts.CHUNKED, Parts.CHUNK),
  /** The body of a response to another request, a byte in each chunk. */
  FOREIGN_TINY_CHUNKS(
      Place.BEFORE_RESPONSE, Id.FOREIGN, "200 OK", Parts.CHUNKED, Parts.TINY_CHUNKS),
  /** The trailers of a response to another request. */
  FOREIGN_TRAILERS(
      Place.BEFORE_RESPONSE, Id.FOREIGN, "200 OK", Parts.CHUNKED + "0\r\n", Parts.HEADERS),
  /** Informational responses. */
  INFORMATIONAL(
      Place.BEFORE_RESPONSE, Id.NONE, "", "", "HTTP/1.1 102 Processing\r\n\r\n".repeat(64)),
  /** Empty lines before a response. */
  EMPTY_LINES(Place.BEFORE_RESPONSE, Id.NONE, "", "", Parts.EMPTY_LINES),
  /** The status line. */
  STATUS_LINE(Place.BEFORE_RESPONSE, Id.NONE, "", "HTTP/1.1 200 ", Parts.TEXT),
  /** One header. */
  HEADER(Place.BEFORE_RESPONSE, Id.OWN, "200 OK", "X-Long: ", Parts.TEXT),
  /** Headers. */
  HEADERS(Place.BEFORE_RESPONSE, Id.OWN, "200 OK", "", Parts.HEADERS),
  /** The length of a chunk. */
  CHUNK_SIZE(Place.BEFORE_RESPONSE, Id.OWN, "200 OK", Parts.CHUNKED, "0".repeat(16_384)),
  /** The extension of a chunk. */
  CHUNK_EXTENSION(Place.BEFORE_RESPONSE, Id.OWN, "200 OK", Parts.CHUNKED + "2;", Parts.TEXT),
  /** The trailers. */
  TRAILERS(
      Place.BEFORE_RESPONSE, Id.OWN, "200 OK", Parts.CHUNKED + "2\r\nok\r\n0\r\n", Parts.HEADERS),

  /** A body in chunks. */
  BODY(Place.BODY, Id.OWN, "200 OK", Parts.CHUNKED, Parts.CHUNK),
  /** A body, a byte in each chunk. */
  TINY_CHUNKS(Place.BODY, Id.OWN, "200 OK", Parts.CHUNKED, Parts.TINY_CHUNKS),
  /** A body that ends with its connection. */
  UNFRAMED_BODY(Place.BODY, Id.OWN, "200 OK", "\r\n", Parts.TEXT),
  /** A body of an enormous stated length. */
  LONG_BODY(Place.BODY, Id.OWN, "200 OK", "Content-Length: 900000000000000000\r\n\r\n", Parts.TEXT),
  /** The body of a failure. */
  ERROR_BODY(Place.BODY, Id.OWN, "500 Failed", Parts.CHUNKED, Parts.CHUNK),

  /** Text after the stated length of a response. */
  TEXT_AFTER_RESPONSE(Place.AFTER_RESPONSE, Id.OWN, "200 OK", Parts.OK, Parts.TEXT),
  /** Empty lines after a response. */
  EMPTY_LINES_AFTER_RESPONSE(Place.AFTER_RESPONSE, Id.OWN, "200 OK", Parts.OK, Parts.EMPTY_LINES),
  /** Headers after a response that were never announced by a status line. */
  HEADERS_AFTER_RESPONSE(Place.AFTER_RESPONSE, Id.OWN, "200 OK", Parts.OK, Parts.HEADERS),
  /** Text on a connection that has been idle for a while. */
  TEXT_WHILE_IDLE(Place.WHILE_IDLE, Id.OWN, "200 OK", Parts.OK, Parts.TEXT),
  /** Empty lines on a connection that has been idle for a while. */
  EMPTY_LINES_WHILE_IDLE(Place.WHILE_IDLE, Id.OWN, "200 OK", Parts.OK, Parts.EMPTY_LINES);

  private final Place place;
  private final Id id;
  private final String status;
  private final String rest;
  private final byte[] piece;

  /** Which part of an exchange has no end. */
  public enum Place {
    /** An event of a stream. */
    STREAM,
    /** What comes before the end of a response that the gateway has not started to forward. */
    BEFORE_RESPONSE,
    /** The body of a response to a call. */
    BODY,
    /** What follows a complete response. */
    AFTER_RESPONSE,
    /** What follows a complete response after a pause. */
    WHILE_IDLE
  }

  /** Which request the response names. */
  private enum Id {
    OWN,
    FOREIGN,
    NONE
  }

  /** Texts that several kinds share. */
  private static final class Parts {
    static final String CHUNKED = "Transfer-Encoding: chunked\r\n\r\n";
    static final String OK = "Content-Length: 2\r\n\r\nok";
    static final String TEXT = "a".repeat(16_384);
    static final String CHUNK = "4000\r\n" + TEXT + "\r\n";
    static final String TINY_CHUNKS = "1\r\na\r\n".repeat(2_730);
    static final String HEADERS = "X-A: a\r\n".repeat(2_048);
    static final String EMPTY_LINES = "\r\n".repeat(8_192);
  }

  EndlessBytes(
      final Place place, final Id id, final String status, final String rest, final String piece) {
    this.place = place;
    this.id = id;
    this.status = status;
    this.rest = rest;
    this.piece = piece.getBytes(StandardCharsets.US_ASCII);
  }

  /**
   * Returns which part of an exchange has no end.
   *
   * @return the part
   */
  public Place place() {
    return place;
  }

  /**
   * Returns what is sent first.
   *
   * @param requestId the id of the request
   * @return the bytes
   */
  public byte[] start(final String requestId) {
    final StringBuilder text = new StringBuilder();
    if (id != Id.NONE) {
      final HttpHeaders headers = new DefaultHttpHeaders();
      EndpointSide.seal(headers, id == Id.OWN ? requestId : "of-another-request", "a seal");
      if (place == Place.BEFORE_RESPONSE && status.startsWith("503")) {
        EndpointSide.markNotRun(headers);
      }
      text.append("HTTP/1.1 ").append(status).append("\r\n");
      headers.forEach(header -> text.append(header.getKey() + ": " + header.getValue() + "\r\n"));
    }
    return text.append(rest).toString().getBytes(StandardCharsets.US_ASCII);
  }

  /**
   * Returns what is sent again and again.
   *
   * @return the bytes, empty if nothing more is sent
   */
  public byte[] piece() {
    return piece.clone();
  }
}
