package org.bulrushweir.gateway;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpUtil;
import org.bulrushweir.relay.ResponseFraming;

/** Decodes endpoints' responses; a response to a HEAD request has no body. */
final class EndpointResponseDecoder extends HttpResponseDecoder {

  /** The limit for the status line and for the headers of a response, in bytes each. */
  private static final int MAX_HEADER_BYTES = 65_536;

  /** The largest piece of a body that is passed on, in bytes. */
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

  /**
   * Returns by what the end of a response's body is recognised.
   *
   * @param response the head of the response to the current request
   * @return the framing
   */
  ResponseFraming framing(final HttpResponse response) {
    if (isContentAlwaysEmpty(response)) {
      return ResponseFraming.LENGTH;
    }
    if (HttpUtil.isTransferEncodingChunked(response)) {
      return ResponseFraming.CHUNKED;
    }
    return HttpUtil.isContentLengthSet(response)
        ? ResponseFraming.LENGTH
        : ResponseFraming.CONNECTION;
  }

  @Override
  protected boolean isContentAlwaysEmpty(final HttpMessage message) {
    return HttpMethod.HEAD.equals(method) || super.isContentAlwaysEmpty(message);
  }
}
