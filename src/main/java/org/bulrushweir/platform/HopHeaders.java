package org.bulrushweir.platform;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.util.AsciiString;
import java.util.List;

/** Removes the headers that concern one connection only. */
final class HopHeaders {

  private static final List<AsciiString> NAMES =
      List.of(
          HttpHeaderNames.CONNECTION,
          HttpHeaderNames.PROXY_AUTHENTICATE,
          HttpHeaderNames.PROXY_AUTHORIZATION,
          HttpHeaderNames.TE,
          HttpHeaderNames.TRAILER,
          HttpHeaderNames.TRANSFER_ENCODING,
          HttpHeaderNames.UPGRADE,
          AsciiString.cached("keep-alive"),
          AsciiString.cached("proxy-connection"));

  private HopHeaders() {}

  /**
   * Removes them.
   *
   * @param headers the headers to change
   */
  static void remove(final HttpHeaders headers) {
    for (final String value : headers.getAll(HttpHeaderNames.CONNECTION)) {
      for (final String name : value.split(",")) {
        removeNamed(headers, name.strip());
      }
    }
    NAMES.forEach(headers::remove);
  }

  private static void removeNamed(final HttpHeaders headers, final String name) {
    final AsciiString lower = AsciiString.of(name).toLowerCase();
    if (!lower.isEmpty() && !HeaderNames.PASSED_ON.contains(lower)) {
      headers.remove(lower);
    }
  }
}
