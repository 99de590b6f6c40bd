package org.bulrushweir.gateway;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests which heads are taken for parts of two responses. */
class EndpointResponseDecoderTest {

  private static boolean isJoined(final String name, final String value) {
    final EmbeddedChannel channel = new EmbeddedChannel(new EndpointResponseDecoder());
    final String head = "HTTP/1.1 200 OK\r\n" + name + ": " + value + "\r\n\r\n";
    channel.writeInbound(Unpooled.copiedBuffer(head, StandardCharsets.US_ASCII));
    final HttpResponse response = channel.readInbound();
    return EndpointResponseDecoder.isJoined(response.decoderResult());
  }

  @ParameterizedTest
  @CsvSource({
    "X-Response-Seal, seal-of-HTTP/a",
    "X-Response-Seal, seal-of-HTTP/1.1 20a",
    "X-Response-Seal, HTTP/1.1 200seal",
    "Date, Sat HTTP/1.1 200 OK"
  })
  void headWithPartOfAnotherOneIsJoined(final String name, final String value) {
    assertTrue(isJoined(name, value));
  }

  @ParameterizedTest
  @CsvSource({
    "X-Response-Seal, 3e1b.07.5a2.600.0.c9f2a4d1",
    "X-Response-Seal, aHTTPb==",
    "Via, HTTP/1.1 proxy",
    "Upgrade, HTTP/2.0"
  })
  void headerMayNameProtocol(final String name, final String value) {
    assertFalse(isJoined(name, value));
  }
}
