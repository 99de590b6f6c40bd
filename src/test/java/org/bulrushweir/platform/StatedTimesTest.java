package org.bulrushweir.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests what is read of the times that endpoints state. */
class StatedTimesTest {

  private static final long DAY_MS = 86_400_000;

  private static HttpResponse response(final String header, final String value) {
    final HttpResponse response =
        new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.SERVICE_UNAVAILABLE);
    response.headers().set(header, value);
    return response;
  }

  private static OptionalLong idleTimeoutMs(final String value) {
    return ResponseTranslator.idleTimeoutMs(response("Keep-Alive", value));
  }

  private static long retryAfterMs(final String value) {
    return ResponseTranslator.head(response("Retry-After", value)).retryAfterMs();
  }

  @Test
  void timesAreReadInMilliseconds() {
    assertEquals(OptionalLong.of(5_000), idleTimeoutMs("timeout=5, max=100"));
    assertEquals(250, retryAfterMs("0.25"));
  }

  /** Guards against a product that overflows, after which no connection is used again. */
  @ParameterizedTest
  @CsvSource({
    "9223372036854775807,86400000",
    "9223372036854776,86400000",
    "100000,86400000",
    "-5,0"
  })
  void idleTimeoutIsReadWithinItsRange(final String seconds, final long expectedMs) {
    assertEquals(OptionalLong.of(expectedMs), idleTimeoutMs("timeout=" + seconds));
  }

  /** Guards against a delay that reaches callers with an exponent, which is no proper header. */
  @ParameterizedTest
  @ValueSource(strings = {"1e300", "Infinity", "9223372036854775807", "10000000"})
  void retryAfterIsReadWithinItsRange(final String seconds) {
    assertEquals(DAY_MS, retryAfterMs(seconds));
  }

  @ParameterizedTest
  @ValueSource(strings = {"NaN", "-1", "-1e300", "Fri, 31 Dec 1999 23:59:59 GMT", ""})
  void timeThatIsNoneDelaysNothing(final String seconds) {
    assertEquals(0, retryAfterMs(seconds));
  }
}
