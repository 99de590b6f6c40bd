package org.bulrushweir.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.bulrushweir.platform.ResponseTranslator;
import org.bulrushweir.relay.FoldedLineScanner;
import org.bulrushweir.relay.ResponseBodyCheck;
import org.bulrushweir.relay.ResponseFraming;
import org.bulrushweir.relay.ResponseSyntax;
import org.bulrushweir.relay.StatusLineScanner;

/**
 * Decodes endpoints' responses; a response to a HEAD request has no body. A response whose head
 * readers may understand differently is invalid.
 */
final class EndpointResponseDecoder extends HttpResponseDecoder {

  /** The limit for the status line and for the headers of a response, in bytes each. */
  static final int MAX_HEADER_BYTES = 65_536;

  private static final DecoderException AMBIGUOUS = new DecoderException("ambiguous head");
  private static final DecoderException JOINED = new DecoderException("head of two responses");

  /** The largest piece of a body that is passed on, in bytes. */
  private static final int MAX_CHUNK_BYTES = 16_384;

  private final FoldedLineScanner lines = new FoldedLineScanner();
  private final StatusLineScanner statusLine = new StatusLineScanner();
  private int statusLines;
  private boolean readingHead = true;
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
   * Returns whether the head of an invalid response consists of parts of two responses: of the
   * start of one that broke off, followed by another one, whose status line is then inside the
   * head. In a signature the start of a status line suffices; other headers may name a protocol.
   *
   * @param result the result of decoding the response
   * @return false for a response that is invalid for another reason
   */
  static boolean isJoined(final DecoderResult result) {
    return result.cause() == JOINED;
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
  protected HttpMessage createMessage(final String[] initialLine) {
    if (!ResponseSyntax.isStatusLine(initialLine[0], initialLine[1])) {
      throw new IllegalArgumentException("invalid status line");
    }
    return super.createMessage(initialLine);
  }

  @Override
  protected void decode(
      final ChannelHandlerContext context, final ByteBuf buffer, final List<Object> out)
      throws Exception {
    final int start = buffer.readerIndex();
    final int decoded = out.size();
    super.decode(context, buffer, out);
    if (readingHead) {
      // A call that completes a head consumes nothing behind it.
      buffer.forEachByte(start, buffer.readerIndex() - start, this::scan);
    }
    for (int index = decoded; index < out.size(); index++) {
      check(out.get(index));
    }
  }

  private boolean scan(final byte value) {
    lines.accept(value);
    if (statusLine.accept(value)) {
      statusLines++;
    }
    return true;
  }

  private void check(final Object message) {
    if (message instanceof HttpResponse response) {
      readingHead = false;
      if (statusLines > 1
          || ResponseTranslator.signature(response).contains(ResponseBodyCheck.RESPONSE_START)) {
        response.setDecoderResult(DecoderResult.failure(JOINED));
      } else if (lines.isFolded()
          || !ResponseSyntax.isTransferEncodingKnown(
              response.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING))) {
        response.setDecoderResult(DecoderResult.failure(AMBIGUOUS));
      }
    }
    if (message instanceof LastHttpContent) {
      readingHead = true;
      lines.reset();
      statusLines = 0;
    }
  }

  @Override
  protected boolean isContentAlwaysEmpty(final HttpMessage message) {
    return HttpMethod.HEAD.equals(method) || super.isContentAlwaysEmpty(message);
  }
}
