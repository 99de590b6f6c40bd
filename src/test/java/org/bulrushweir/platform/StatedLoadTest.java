package org.bulrushweir.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Optional;
import java.util.OptionalDouble;
import org.bulrushweir.balancing.StatedLoad;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests what is read of the load that endpoints state. */
class StatedLoadTest {

  private static Optional<StatedLoad> load(final int status, final String text) {
    final HttpResponse response =
        new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
    response.headers().set("X-Server-Load", text);
    return ResponseTranslator.statedLoad(response);
  }

  @Test
  void loadIsReadWithAndWithoutPace() {
    assertEquals(
        Optional.of(new StatedLoad(3, 1, 6, OptionalDouble.of(2.5))), load(200, "3, 1, 6, 250"));
    assertEquals(Optional.of(new StatedLoad(3, 1, 6, OptionalDouble.empty())), load(503, "3,1,6"));
  }

  /** A response must reach its caller whatever its header says. */
  @ParameterizedTest
  @ValueSource(strings = {"", ",", "3,1", "a,b,c,d", "3,1,6,fast", "99999999999,0,0,100"})
  void unreadableLoadIsIgnored(final String text) {
    assertEquals(Optional.empty(), load(200, text));
  }

  /** Such a pace would make an endpoint attract or repel all requests. */
  @ParameterizedTest
  @ValueSource(strings = {"3,1,6,0", "3,1,6,-100", "3,1,6,NaN", "3,1,6,Infinity"})
  void impossiblePaceIsIgnored(final String text) {
    assertEquals(OptionalDouble.empty(), load(200, text).orElseThrow().pace());
  }

  /** Another endpoint answers at the address of one that has moved. */
  @Test
  void loadOfAnotherEndpointIsIgnored() {
    assertEquals(Optional.empty(), load(421, "3,1,6,250"));
  }
}
