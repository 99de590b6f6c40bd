package org.bulrushweir.gateway;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseDecoder;

/** Decodes endpoints' answers; those to HEAD requests have no body. */
final class EndpointResponseDecoder extends HttpResponseDecoder {

  /** The largest head of an answer, in bytes. */
  private static final int MAX_HEADER_BYTES = 65_536;

  /** The longest piece of a body that is handed on, in bytes. */
  private static final int MAX_CHUNK_BYTES = 16_384;

  private HttpMethod method = HttpMethod.GET;

  /** Creates a decoder. */
  EndpointResponseDecoder() {
    super(
        new HttpDecoderConfig()
            .setMaxInitialLineLength(MAX_HEADER_BYTES)
            .setMaxHeaderSize(MAX_HEADER_BYTES)
            .setMaxChunkSize(MAX_CHUNK_BYTES));
  }

  void method(final HttpMethod requested) {
    method = requested;
  }

  @Override
  protected boolean isContentAlwaysEmpty(final HttpMessage message) {
    return HttpMethod.HEAD.equals(method) || super.isContentAlwaysEmpty(message);
  }
}
