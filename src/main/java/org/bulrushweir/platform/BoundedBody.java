package org.bulrushweir.platform;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import okhttp3.Response;
import okio.BufferedSource;

/** Reads response bodies up to a limit, since a faulty sender may never end them. */
final class BoundedBody {

  private BoundedBody() {}

  /**
   * Reads a whole body.
   *
   * @param response the response
   * @param maxBytes the largest allowed length, in bytes
   * @return the body as UTF-8 text
   * @throws IOException if the body breaks off or is longer than allowed
   */
  static String read(final Response response, final long maxBytes) throws IOException {
    final BufferedSource source = response.body().source();
    if (source.request(maxBytes + 1)) {
      throw new IOException("the body is longer than " + maxBytes + " bytes");
    }
    return source.readString(StandardCharsets.UTF_8);
  }
}
