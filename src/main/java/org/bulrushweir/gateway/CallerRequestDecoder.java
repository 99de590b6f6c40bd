package org.bulrushweir.gateway;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/**
 * Decodes callers' requests. A request with an ambiguous length is refused: another server might
 * find its end at another byte, which allows request smuggling.
 */
final class CallerRequestDecoder extends HttpRequestDecoder {

  /** The largest piece of a body that is passed on, in bytes. */
  private static final int MAX_CHUNK_BYTES = 16_384;

  private final int maxHeaderBytes;

  /**
   * Creates a decoder.
   *
   * @param maxHeaderBytes the limit for the request line and for the headers, in bytes each
   */
  CallerRequestDecoder(final int maxHeaderBytes) {
    super(
        new HttpDecoderConfig()
            .setMaxInitialLineLength(maxHeaderBytes)
            .setMaxHeaderSize(maxHeaderBytes)
            .setMaxChunkSize(MAX_CHUNK_BYTES)
            .setValidateHeaders(true));
    this.maxHeaderBytes = maxHeaderBytes;
  }

  int maxHeaderBytes() {
    return maxHeaderBytes;
  }

  @Override
  protected void handleTransferEncodingChunkedWithContentLength(final HttpMessage message) {
    throw new IllegalArgumentException("request has both Content-Length and Transfer-Encoding");
  }

  /**
   * Returns whether bytes have been received that do not make a message yet.
   *
   * @return false if all bytes are decoded
   */
  boolean hasUndecodedBytes() {
    return actualReadableBytes() > 0;
  }

  /**
   * Returns whether the length of a request is unambiguous.
   *
   * @param message the request
   * @return false if the request must be refused
   */
  static boolean isUnambiguous(final HttpMessage message) {
    final int encodings = message.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING).size();
    final int lengths = message.headers().getAll(HttpHeaderNames.CONTENT_LENGTH).size();
    if (encodings == 0) {
      return lengths <= 1;
    }
    return encodings == 1
        && lengths == 0
        && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(
            message.headers().get(HttpHeaderNames.TRANSFER_ENCODING).strip());
  }
}
