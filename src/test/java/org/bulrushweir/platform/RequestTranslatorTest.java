package org.bulrushweir.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.bulrushweir.api.EndpointId;
import org.bulrushweir.api.OrganisationId;
import org.bulrushweir.balancing.PromptSegment;
import org.bulrushweir.catalog.RequestKind;
import org.bulrushweir.relay.AttemptHead;
import org.bulrushweir.relay.DrainPolicy;
import org.bulrushweir.relay.EventId;
import org.bulrushweir.relay.RequestHead;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests what is read of callers' requests and what reaches endpoints. */
class RequestTranslatorTest {

  private static HttpRequest request() {
    final HttpRequest request =
        new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/draft/1?a=b");
    request
        .headers()
        .set("Host", "Chat.Example:8080")
        .set("X-Request-Id", "9c41")
        .set("X-Model", "m")
        .set("X-Prompt-Prefix", "5c1e07a2:800, ffffffffffffffff:410,x:1,7:7")
        .set("X-Token-Usage", "1460,80")
        .set("X-Deadline-Ms", "5000")
        .set("Authorization", "Bearer secret")
        .set("Content-Length", "3");
    return request;
  }

  private static FullHttpRequest translated(final HttpRequest request) {
    return RequestTranslator.toEndpoint(
        request,
        Unpooled.wrappedBuffer(new byte[3]),
        new AttemptHead(
            new EndpointId("i-1"),
            Optional.of(new OrganisationId("dispatch")),
            1_200,
            12,
            EventId.parse("4"),
            Optional.empty()));
  }

  @Test
  void headIsDecoded() {
    final RequestHead head = RequestTranslator.head(request()).orElseThrow();
    assertEquals("chat.example", head.host());
    assertEquals("/draft/1", head.path());
    assertEquals(OptionalLong.of(5_000), head.timeoutMs());
    assertEquals(OptionalLong.of(80), head.outputTokens());
    assertEquals(Optional.of("secret"), head.apiKey());
    assertEquals(
        List.of(new PromptSegment(0x5c1e07a2L, 800), new PromptSegment(-1, 410)), head.prompt());
  }

  /** Guards against segments without tokens, whose entries no cache model would ever evict. */
  @Test
  void segmentWithoutTokensEndsThePrompt() {
    for (final String tokens : List.of("0", "-2000000000")) {
      final HttpRequest request = request();
      request.headers().set("X-Prompt-Prefix", "a:800,b:" + tokens + ",c:10");
      assertEquals(
          List.of(new PromptSegment(0xa, 800)),
          RequestTranslator.head(request).orElseThrow().prompt());
    }
  }

  /** Guards against sums of times and tokens that overflow, and against texts that seem numbers. */
  @ParameterizedTest
  @CsvSource({
    "1e30,1000000000000",
    "9223372036854775807,1000000000000",
    "Infinity,1000000000000",
    "-5,0",
    "-1e30,0",
    "1500.7,1500"
  })
  void numbersAreReadWithinTheirRange(final String text, final long expected) {
    final RequestHead head = headWithNumbers(text);
    assertEquals(OptionalLong.of(expected), head.timeoutMs());
    assertEquals(OptionalLong.of(expected), head.outputTokens());
    assertEquals(OptionalLong.of(expected), head.expectedTokens());
  }

  /** Guards against a stopping gateway that takes a stream which it would cut off. */
  @ParameterizedTest
  @ValueSource(strings = {"1e30", "9223372036854775807", "Infinity"})
  void endlessStreamIsNotAcceptedByGatewayThatStops(final String tokens) {
    final long graceMs = 8_000;
    assertFalse(
        new DrainPolicy(graceMs)
            .accepts(RequestKind.STREAM, headWithNumbers(tokens).outputTokens(), 2 * graceMs, 0));
  }

  @ParameterizedTest
  @ValueSource(strings = {"NaN", "", "soon", "1,5"})
  void textThatIsNoNumberIsNone(final String text) {
    final RequestHead head = headWithNumbers(text);
    assertEquals(OptionalLong.empty(), head.timeoutMs());
    assertEquals(OptionalLong.empty(), head.outputTokens());
    assertEquals(OptionalLong.empty(), head.expectedTokens());
  }

  private static RequestHead headWithNumbers(final String text) {
    final HttpRequest request = request();
    request
        .headers()
        .set("X-Deadline-Ms", text)
        .set("X-Token-Usage", "1460," + text)
        .set("X-Length-Hint", text);
    return RequestTranslator.head(request).orElseThrow();
  }

  @Test
  void headsThatCanBeReadInTwoWaysAreRefused() {
    final HttpRequest twoHosts = request();
    twoHosts.headers().add("Host", "other.example");
    assertTrue(RequestTranslator.head(twoHosts).isEmpty());
    final HttpRequest twoKeys = request();
    twoKeys.headers().add("Authorization", "Bearer other");
    assertTrue(RequestTranslator.head(twoKeys).isEmpty());
    final HttpRequest noId = request();
    noId.headers().remove("X-Request-Id");
    assertTrue(RequestTranslator.head(noId).isEmpty());
  }

  @Test
  void callersCanNotSetWhatTheSystemSets() {
    final HttpRequest request = request();
    for (final String name :
        List.of(
            "X-Tenant",
            "X-Hold",
            "X-Pin-Ms",
            "X-Kv-Backup",
            "Kv-From",
            "Kv-Fetch",
            "X-Expect-Version",
            "X-Request-Priority")) {
      request.headers().set(name, "forged");
    }
    final FullHttpRequest translated = translated(request);
    translated.headers().forEach(header -> assertFalse(header.getValue().equals("forged")));
    assertEquals("dispatch", translated.headers().get("X-Tenant"));
    assertEquals("i-1", translated.headers().get("X-Expect-Instance"));
    assertEquals("9", translated.headers().get("X-Request-Priority"));
    assertEquals("1200", translated.headers().get("X-Deadline-Ms"));
    assertEquals("4", translated.headers().get("Last-Event-Id"));
  }

  @Test
  void keyAndHopHeadersEndHere() {
    final HttpRequest request = request();
    request.headers().set("Connection", "X-Private, X-Model, close");
    request.headers().set("X-Private", "1");
    request.headers().set("Keep-Alive", "timeout=5");
    final FullHttpRequest translated = translated(request);
    assertFalse(translated.headers().contains("Authorization"));
    assertFalse(translated.headers().contains("Connection"));
    assertFalse(translated.headers().contains("X-Private"));
    assertFalse(translated.headers().contains("Keep-Alive"));
    assertEquals("m", translated.headers().get("X-Model"));
    assertEquals("/draft/1?a=b", translated.uri());
  }
}
