package org.bulrushweir.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.Iterator;
import java.util.Map;
import java.util.Set;
import org.bulrushweir.relay.ResponseBodyCheck;
import org.bulrushweir.relay.ResponseFraming;
import org.bulrushweir.relay.StatusLineScanner;

/** Decodes endpoints' responses; a response to a HEAD request has no body. */
final class EndpointResponseDecoder extends HttpResponseDecoder {

  /** The limit for the status line and for the headers of a response, in bytes each. */
  private static final int MAX_HEADER_BYTES = 65_536;

  /** The largest piece of a body that is passed on, in bytes. */
  private static final int MAX_CHUNK_BYTES = 16_384;

  private static final Set<String> VERSIONS =
      Set.of(HttpVersion.HTTP_1_0.text(), HttpVersion.HTTP_1_1.text());

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
   * Returns whether a head consists of parts of two responses: of the start of one that broke off,
   * followed by another one, whose status line is then found within the head.
   *
   * @param response the head
   * @return false for the head of a single response
   */
  static boolean isJoined(final HttpResponse response) {
    if (!VERSIONS.contains(response.protocolVersion().text())
        || StatusLineScanner.contains(response.status().reasonPhrase())) {
      return true;
    }
    final Iterator<Map.Entry<CharSequence, CharSequence>> headers =
        response.headers().iteratorCharSequence();
    while (headers.hasNext()) {
      final Map.Entry<CharSequence, CharSequence> header = headers.next();
      final StatusLineScanner scanner = new StatusLineScanner();
      // A line without a colon is split at its first space.
      if (scanner.acceptAll(header.getKey())
          | scanner.accept((byte) ' ')
          | scanner.acceptAll(header.getValue())) {
        return true;
      }
    }
    return false;
  }

  /**
   * Returns whether bytes were read after the response that has just ended.
   *
   * @return false if the connection is ready for the next request
   */
  boolean hasFollowing() {
    return actualReadableBytes() > 0;
  }

  /**
   * Returns the first bytes that were read after the response that has just ended.
   *
   * @return as many as {@link ResponseBodyCheck#RESPONSE_START} has, or all if there are fewer
   */
  String following() {
    final ByteBuf unread = internalBuffer();
    final int length = Math.min(unread.readableBytes(), ResponseBodyCheck.RESPONSE_START.length());
    return unread.toString(unread.readerIndex(), length, StandardCharsets.ISO_8859_1);
  }

  @Override
  protected boolean isContentAlwaysEmpty(final HttpMessage message) {
    return HttpMethod.HEAD.equals(method) || super.isContentAlwaysEmpty(message);
  }
}
