package org.bulrushweir.gateway;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/**
 * Decodes callers' requests. A request whose length could be read in two ways is refused: another
 * server might read it the other way.
 */
final class CallerRequestDecoder extends HttpRequestDecoder {

  /** The longest piece of a body that is handed on, in bytes. */
  private static final int MAX_CHUNK_BYTES = 16_384;

  /**
   * Creates a decoder.
   *
   * @param maxHeaderBytes the largest head of a request, in bytes
   */
  CallerRequestDecoder(final int maxHeaderBytes) {
    super(
        new HttpDecoderConfig()
            .setMaxInitialLineLength(maxHeaderBytes)
            .setMaxHeaderSize(maxHeaderBytes)
            .setMaxChunkSize(MAX_CHUNK_BYTES)
            .setValidateHeaders(true));
  }

  @Override
  protected void handleTransferEncodingChunkedWithContentLength(final HttpMessage message) {
    throw new IllegalArgumentException("both a length and a transfer encoding");
  }

  /**
   * Tells whether the length of a request can be read in one way only.
   *
   * @param message the request
   * @return false if it must be refused
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
