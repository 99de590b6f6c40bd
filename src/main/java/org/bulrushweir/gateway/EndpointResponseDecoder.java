package org.bulrushweir.gateway;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpUtil;
import java.util.Map;
import org.bulrushweir.relay.ResponseFraming;
import org.bulrushweir.relay.StatusLineScanner;

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

  /**
   * Returns whether a head contains the status line of a further response. The head is then the
   * start of one that broke off, followed by that of another response.
   *
   * @param response the head
   * @return false for the head of a single response
   */
  static boolean isJoined(final HttpResponse response) {
    if (StatusLineScanner.contains(response.status().reasonPhrase())) {
      return true;
    }
    for (final Map.Entry<String, String> header : response.headers()) {
      if (StatusLineScanner.contains(header.getKey() + ' ' + header.getValue())) {
        return true;
      }
    }
    return false;
  }

  @Override
  protected boolean isContentAlwaysEmpty(final HttpMessage message) {
    return HttpMethod.HEAD.equals(method) || super.isContentAlwaysEmpty(message);
  }
}
