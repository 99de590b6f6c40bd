package org.bulrushweir.platform;

import com.google.common.net.HostAndPort;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalLong;
import org.bulrushweir.balancing.PromptSegment;
import org.bulrushweir.relay.AttemptHead;
import org.bulrushweir.relay.EventId;
import org.bulrushweir.relay.RequestHead;

/** Translates callers' requests into the product's types, and these into requests to endpoints. */
public final class RequestTranslator {

  private static final String KEY_SCHEME = "Bearer ";
  private static final int HEX_RADIX = 16;
  private static final int MAX_ID_LENGTH = 200;
  private static final int LEAST_URGENT = 9;

  /** The greatest time in milliseconds and number of tokens that is read; sums of it fit a long. */
  private static final long MAX_NUMBER = 1_000_000_000_000L;

  private RequestTranslator() {}

  /**
   * Reads the head of a request.
   *
   * @param request the request
   * @return what it says, empty if it is no proper request
   */
  public static Optional<RequestHead> head(final HttpRequest request) {
    final HttpHeaders headers = request.headers();
    final List<String> hosts = headers.getAll(HttpHeaderNames.HOST);
    final List<String> ids = headers.getAll(HeaderNames.REQUEST_ID);
    if (hosts.size() != 1
        || ids.size() != 1
        || ids.getFirst().isEmpty()
        || ids.getFirst().length() > MAX_ID_LENGTH
        || headers.getAll(HttpHeaderNames.AUTHORIZATION).size() > 1
        || !request.uri().startsWith("/")) {
      return Optional.empty();
    }
    return Optional.of(
        new RequestHead(
            ids.getFirst(),
            hostName(hosts.getFirst()),
            path(request.uri()),
            number(headers.get(HeaderNames.TIME_LEFT)),
            key(headers.get(HttpHeaderNames.AUTHORIZATION)),
            prompt(headers.get(HeaderNames.PROMPT_PARTS)),
            outputTokens(headers.get(HeaderNames.TOKENS)),
            Optional.ofNullable(headers.get(HeaderNames.LAST_EVENT)).flatMap(EventId::parse),
            number(headers.get(HeaderNames.LENGTH_HINT))));
  }

  private static String hostName(final String host) {
    final int colon = host.lastIndexOf(':');
    return (colon < 0 ? host : host.substring(0, colon)).strip().toLowerCase(Locale.ROOT);
  }

  private static String path(final String uri) {
    final int query = uri.indexOf('?');
    return query < 0 ? uri : uri.substring(0, query);
  }

  /** Reads a number that can't be negative or huge; a text that is none counts as absent. */
  private static OptionalLong number(final String text) {
    if (text == null) {
      return OptionalLong.empty();
    }
    try {
      final double number = Double.parseDouble(text.strip());
      return Double.isNaN(number)
          ? OptionalLong.empty()
          : OptionalLong.of(Math.clamp((long) number, 0, MAX_NUMBER));
    } catch (NumberFormatException e) {
      return OptionalLong.empty();
    }
  }

  private static OptionalLong outputTokens(final String tokens) {
    final int comma = tokens == null ? -1 : tokens.indexOf(',');
    return comma < 0 ? OptionalLong.empty() : number(tokens.substring(comma + 1));
  }

  private static Optional<String> key(final String authorization) {
    if (authorization == null
        || !authorization.regionMatches(true, 0, KEY_SCHEME, 0, KEY_SCHEME.length())) {
      return Optional.empty();
    }
    return Optional.of(authorization.substring(KEY_SCHEME.length()).strip());
  }

  /** Reads the parts of a prompt; parts that can't be read end it, since they can't be shared. */
  private static List<PromptSegment> prompt(final String text) {
    final List<PromptSegment> parts = new ArrayList<>();
    if (text == null) {
      return parts;
    }
    for (final String entry : text.split(",")) {
      final int colon = entry.indexOf(':');
      if (colon < 0) {
        return parts;
      }
      try {
        final int tokens = Integer.parseInt(entry.substring(colon + 1).strip());
        if (tokens < 1) {
          return parts;
        }
        parts.add(
            new PromptSegment(
                Long.parseUnsignedLong(entry.substring(0, colon).strip(), HEX_RADIX), tokens));
      } catch (NumberFormatException e) {
        return parts;
      }
    }
    return parts;
  }

  /**
   * Builds the request to an endpoint: what the caller sent, without what concerns its connection
   * and its key, and with what the system adds.
   *
   * @param request the caller's request
   * @param body its body; the result shares its bytes
   * @param attempt what the system adds
   * @return the request to send
   */
  public static FullHttpRequest toEndpoint(
      final HttpRequest request, final ByteBuf body, final AttemptHead attempt) {
    final HttpHeaders headers = request.headers().copy();
    HopHeaders.remove(headers);
    HeaderNames.SYSTEM_ONLY.forEach(headers::remove);
    headers.remove(HttpHeaderNames.AUTHORIZATION);
    headers.remove(HttpHeaderNames.EXPECT);
    headers.remove(HttpHeaderNames.CONTENT_LENGTH);
    if (body.isReadable()
        || request.headers().contains(HttpHeaderNames.CONTENT_LENGTH)
        || request.headers().contains(HttpHeaderNames.TRANSFER_ENCODING)) {
      headers.set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
    }
    headers.set(HeaderNames.EXPECTED_ENDPOINT, attempt.endpoint().value());
    headers.set(HeaderNames.TIME_LEFT, Long.toString(Math.max(1, attempt.timeLeftMs())));
    headers.set(
        HeaderNames.PRIORITY, Integer.toString(Math.clamp(attempt.priority(), 0, LEAST_URGENT)));
    attempt
        .organisation()
        .ifPresent(organisation -> headers.set(HeaderNames.ORGANISATION, organisation.value()));
    attempt.resumeAfter().ifPresent(event -> headers.set(HeaderNames.LAST_EVENT, event.text()));
    attempt
        .cacheSource()
        .ifPresent(
            source ->
                headers.set(
                    HeaderNames.CACHE_SOURCE,
                    HostAndPort.fromParts(source.host(), source.port()).toString()));
    return new DefaultFullHttpRequest(
        HttpVersion.HTTP_1_1,
        request.method(),
        request.uri(),
        body,
        headers,
        EmptyHttpHeaders.INSTANCE);
  }
}
