package org.bulrushweir.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.bulrushweir.api.EndpointId;
import org.bulrushweir.api.ServiceName;
import org.bulrushweir.api.ZoneName;
import org.bulrushweir.catalog.EndpointRecord;
import org.bulrushweir.relay.ResponseFraming;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests what a connection takes for the response to a request after its endpoint has written the
 * response before it once more, cut off after each of its bytes.
 */
class EndpointConnectionTest {

  private static final String FIRST = "first-request";
  private static final String SECOND = "second-request";
  private static final EndpointRecord ENDPOINT =
      new EndpointRecord(
          new EndpointId("orders-1"),
          new ServiceName("orders"),
          "127.0.0.1",
          9,
          new ZoneName("zone-1"),
          6,
          false,
          0);

  private static final EndpointAnswer FIRST_ANSWER =
      new EndpointAnswer("200 OK", EndpointAnswer.Framing.LENGTH, false, false, false);
  private static final List<EndpointAnswer.Framing> UNCHECKED_FRAMINGS =
      List.of(EndpointAnswer.Framing.LENGTH, EndpointAnswer.Framing.CONNECTION);
  private static final String EVENT_END = "\n\n";

  /** Fewer bytes of a repetition can't be told from a body. */
  private static final int MIN_CUT_BYTES = 3;

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final ConnectionPool pool =
      new ConnectionPool(group, () -> 0, (endpoint, request, kind) -> {});

  @AfterEach
  void close() {
    group.shutdownGracefully();
  }

  /** When the repetition is read. */
  enum Read {
    /** Together with the response that it repeats. */
    WITH_FIRST,
    /** While the connection is idle. */
    IDLE,
    /** After the next request was sent. */
    BEFORE_SECOND,
    /** Together with the response to the next request. */
    WITH_SECOND
  }

  /** Records one response. */
  private static final class Recorder implements ResponseListener {

    private final StringBuilder body = new StringBuilder();
    private HttpResponse head;
    private boolean ended;
    private boolean broken;

    @Override
    public void onBodyTaken() {}

    @Override
    public void onHead(final HttpResponse response, final ResponseFraming framing) {
      head = response;
    }

    @Override
    public void onPart(final ByteBuf part) {
      body.append(part.toString(StandardCharsets.ISO_8859_1));
      part.release();
    }

    @Override
    public void onEnd() {
      ended = true;
    }

    @Override
    public void onBroken(final String detail) {
      broken = true;
    }
  }

  /** An open connection to an endpoint whose bytes a test writes. */
  private final class Connection {

    private final EndpointResponseDecoder decoder = new EndpointResponseDecoder();
    private final EndpointConnection handler = new EndpointConnection(ENDPOINT, decoder, pool);
    private final EmbeddedChannel channel =
        new EmbeddedChannel(
            new IdleBytesHandler(handler), new HttpRequestEncoder(), decoder, handler);

    private Recorder send(final String id) {
      final Recorder recorder = new Recorder();
      handler.send(
          new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/"), id, recorder);
      channel.releaseOutbound();
      return recorder;
    }

    private void read(final byte[] bytes) {
      if (bytes.length > 0 && channel.isActive()) {
        channel.writeInbound(Unpooled.copiedBuffer(bytes));
      }
    }
  }

  private static List<EndpointAnswer> answers(final boolean idLast) {
    final List<EndpointAnswer> answers = new ArrayList<>();
    for (final EndpointAnswer.Framing framing : EndpointAnswer.Framing.values()) {
      answers.add(new EndpointAnswer("200 OK", framing, false, true, idLast));
      answers.add(new EndpointAnswer("200 OK", framing, false, false, idLast));
      answers.add(new EndpointAnswer("500 Internal Server Error", framing, false, false, idLast));
      answers.add(new EndpointAnswer("503 Service Unavailable", framing, true, false, idLast));
      answers.add(new EndpointAnswer("204 No Content", framing, false, false, idLast));
    }
    return answers;
  }

  private static byte[] join(final byte[] first, final byte[] second) {
    final byte[] joined = Arrays.copyOf(first, first.length + second.length);
    System.arraycopy(second, 0, joined, first.length, second.length);
    return joined;
  }

  /** Returns the response to the second request, null if the connection was closed before it. */
  private Recorder exchange(
      final EndpointAnswer first, final EndpointAnswer second, final int cutAt, final Read read) {
    final Connection connection = new Connection();
    final byte[] firstBytes = first.bytes(FIRST);
    final byte[] repetition = Arrays.copyOf(firstBytes, cutAt);
    connection.send(FIRST);
    connection.read(read == Read.WITH_FIRST ? join(firstBytes, repetition) : firstBytes);
    if (read == Read.IDLE) {
      connection.read(repetition);
    }
    if (!connection.channel.isActive()) {
      return null;
    }
    final Recorder recorder = connection.send(SECOND);
    final byte[] secondBytes = second.bytes(SECOND);
    if (read == Read.BEFORE_SECOND) {
      connection.read(repetition);
    }
    connection.read(read == Read.WITH_SECOND ? join(repetition, secondBytes) : secondBytes);
    connection.channel.close();
    return recorder;
  }

  private static void assertOwnOrBroken(
      final EndpointAnswer answer, final Recorder recorder, final String detail) {
    assertTrue(recorder.ended != recorder.broken, detail);
    if (recorder.head != null) {
      assertEquals(answer.code(), recorder.head.status().code(), detail);
      assertEquals(List.of(SECOND), recorder.head.headers().getAll("X-Request-Id"), detail);
    }
    if (recorder.ended) {
      assertEquals(answer.body(SECOND), recorder.body.toString(), detail);
    }
  }

  @ParameterizedTest
  @EnumSource(Read.class)
  void repetitionCutOffAnywhereIsNoPartOfTheNextResponse(final Read read) {
    int own = 0;
    for (final boolean idLast : new boolean[] {false, true}) {
      for (final EndpointAnswer first : answers(idLast)) {
        if (first.framing() == EndpointAnswer.Framing.CONNECTION) {
          continue;
        }
        final int length = first.bytes(FIRST).length;
        for (final EndpointAnswer second : answers(false)) {
          for (int cutAt = 0; cutAt <= length; cutAt++) {
            final Recorder recorder = exchange(first, second, cutAt, read);
            if (recorder == null) {
              continue;
            }
            final String detail = first + " cut off at " + cutAt + ", then " + second;
            assertOwnOrBroken(second, recorder, detail);
            if (cutAt == 0 || cutAt == length) {
              assertTrue(recorder.ended, detail);
              own++;
            }
          }
        }
      }
    }
    assertTrue(own > 0, "responses after none or a whole repetition");
  }

  /** Returns what a caller takes from the part of a stream that it got. */
  private static String completeEvents(final String part) {
    final int end = part.lastIndexOf(EVENT_END);
    return end < 0 ? "" : part.substring(0, end + EVENT_END.length());
  }

  /** Returns the response to the second request, with a repetition inside its body. */
  private Recorder exchangeWithRepetitionInside(
      final EndpointAnswer second, final int bodyOffset, final int cutAt, final boolean bytewise) {
    final Connection connection = new Connection();
    final byte[] firstBytes = FIRST_ANSWER.bytes(FIRST);
    connection.send(FIRST);
    connection.read(firstBytes);
    final Recorder recorder = connection.send(SECOND);
    final byte[] bytes = second.bytes(SECOND);
    final int splitAt = bytes.length - second.body(SECOND).length() + bodyOffset;
    final byte[] joined =
        join(
            join(Arrays.copyOf(bytes, splitAt), Arrays.copyOf(firstBytes, cutAt)),
            Arrays.copyOfRange(bytes, splitAt, bytes.length));
    if (bytewise) {
      for (final byte value : joined) {
        connection.read(new byte[] {value});
      }
    } else {
      connection.read(joined);
    }
    connection.channel.close();
    return recorder;
  }

  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void repetitionBetweenEventsIsNoEvent(final boolean bytewise) {
    for (final EndpointAnswer.Framing framing : UNCHECKED_FRAMINGS) {
      final EndpointAnswer second = new EndpointAnswer("200 OK", framing, false, true, false);
      final String body = second.body(SECOND);
      for (int offset = 0; offset >= 0; offset = nextEvent(body, offset)) {
        for (int cutAt = MIN_CUT_BYTES; cutAt <= FIRST_ANSWER.bytes(FIRST).length; cutAt++) {
          final Recorder recorder = exchangeWithRepetitionInside(second, offset, cutAt, bytewise);
          final String detail = framing + ", after " + offset + " bytes, cut off at " + cutAt;
          assertFalse(recorder.ended, detail);
          assertTrue(body.startsWith(completeEvents(recorder.body.toString())), detail);
        }
      }
    }
  }

  /** Returns where the next event of a body starts, negative after the last one. */
  private static int nextEvent(final String body, final int offset) {
    final int start = body.indexOf(EVENT_END, offset) + EVENT_END.length();
    return start < body.length() ? start : -1;
  }

  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void statusLineInsideBodyThatWasReadInPiecesIsRepetition(final boolean bytewise) {
    for (final EndpointAnswer.Framing framing : UNCHECKED_FRAMINGS) {
      final EndpointAnswer second = new EndpointAnswer("200 OK", framing, false, false, false);
      final int length = second.body(SECOND).length();
      for (int offset = 0; offset <= length - MIN_CUT_BYTES; offset++) {
        for (int cutAt = "HTTP/1.1 200".length();
            cutAt <= FIRST_ANSWER.bytes(FIRST).length;
            cutAt++) {
          assertFalse(
              exchangeWithRepetitionInside(second, offset, cutAt, bytewise).ended,
              framing + ", after " + offset + " bytes, cut off at " + cutAt);
        }
      }
    }
  }

  @Test
  void connectionIsNotReusedAfterRepetition() {
    final EndpointAnswer answer =
        new EndpointAnswer("200 OK", EndpointAnswer.Framing.LENGTH, false, false, false);
    final Connection connection = new Connection();
    connection.send(FIRST);
    connection.read(answer.bytes(FIRST));
    assertTrue(connection.channel.isActive());
    final Recorder recorder = connection.send(SECOND);
    connection.read(join(answer.bytes(FIRST), answer.bytes(SECOND)));
    assertTrue(recorder.ended);
    assertTrue(!connection.channel.isActive());
  }
}
