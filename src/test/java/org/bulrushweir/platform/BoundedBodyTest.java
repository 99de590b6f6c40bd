package org.bulrushweir.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.Arrays;
import okhttp3.MediaType;
import okhttp3.Protocol;
import okhttp3.Request;
import okhttp3.Response;
import okhttp3.ResponseBody;
import okio.Buffer;
import okio.ForwardingSource;
import okio.Okio;
import org.junit.jupiter.api.Test;

/** Tests that bodies without end are not read into memory. */
class BoundedBodyTest {

  private static final int LIMIT_BYTES = 100_000;
  private static final long MAX_READ_BYTES = 200_000;

  private long readBytes;

  private static Response response(final ResponseBody body) {
    return new Response.Builder()
        .request(new Request.Builder().url("http://127.0.0.1/").build())
        .protocol(Protocol.HTTP_1_1)
        .code(200)
        .message("OK")
        .body(body)
        .build();
  }

  private Response endless() {
    final byte[] piece = new byte[8_192];
    Arrays.fill(piece, (byte) 'a');
    final ForwardingSource source =
        new ForwardingSource(new Buffer()) {
          @Override
          public long read(final Buffer sink, final long byteCount) {
            sink.write(piece);
            readBytes += piece.length;
            return piece.length;
          }
        };
    return response(
        ResponseBody.create(Okio.buffer(source), MediaType.get("application/json"), -1));
  }

  @Test
  void bodyUpToTheLimitIsReadWhole() throws IOException {
    final String text = "é".repeat(LIMIT_BYTES / 2);
    assertEquals(
        text,
        BoundedBody.read(
            response(ResponseBody.create(text, MediaType.get("application/json"))), LIMIT_BYTES));
  }

  @Test
  void bodyWithoutEndFailsAfterTheLimit() {
    final Response endless = endless();
    assertThrows(IOException.class, () -> BoundedBody.read(endless, LIMIT_BYTES));
    assertTrue(readBytes <= MAX_READ_BYTES, "read " + readBytes);
  }
}
