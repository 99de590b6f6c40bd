package org.bulrushweir.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.EnumSet;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.bulrushweir.balancing.EndpointTracker;
import org.bulrushweir.catalog.EndpointDirectory;
import org.bulrushweir.platform.EndpointSide;
import org.bulrushweir.store.SharedTable;
import org.bulrushweir.testing.RecordedLog;
import org.junit.jupiter.api.Test;

/** Tests when the connection of a caller is closed. */
class CallerHandlerTest {

  private static final long LIMIT_MS = 40_000;
  private static final long STEP_MS = 1_000;

  private final AtomicLong now = new AtomicLong();
  private final EndpointDirectory directory = new EndpointDirectory();
  private final GatewayCore core =
      GatewayCoreFixture.create(
          directory, new EndpointTracker(directory, service -> 0, 1), now::get);
  private final CallerHandler handler = handler(core);
  private final SlowCaller slowCaller = new SlowCaller();
  private final StartGate gate = new StartGate(EnumSet.of(SharedTable.ENDPOINTS));

  @Test
  void idleConnectionIsClosedOnlyAfterItsLastResponseWasSent() {
    final EmbeddedChannel channel = new EmbeddedChannel(slowCaller, handler);
    channel.writeInbound(request());
    handler.closeIfIdle();
    assertTrue(channel.isOpen(), "closed before the response was sent");
    slowCaller.read();
    channel.runPendingTasks();
    assertEquals(400, ((HttpResponse) channel.readOutbound()).status().code());
    assertFalse(channel.isOpen());
  }

  /** Guards against a stop that closes the connection of a caller that is about to send. */
  @Test
  void connectionThatWasJustOpenedIsNotIdle() {
    final EmbeddedChannel channel = new EmbeddedChannel(handler);
    now.set(200);
    handler.closeIfIdle();
    channel.runPendingTasks();
    assertTrue(channel.isOpen(), "closed 200 ms after it was opened");
    now.set(500);
    handler.closeIfIdle();
    channel.runPendingTasks();
    assertFalse(channel.isOpen());
  }

  @Test
  void pipelinedRequestIsAnsweredBeforeAnIdleConnectionIsClosed() {
    final CallerHandler pipelined = handler(startingCore());
    final EmbeddedChannel channel = new EmbeddedChannel(pipelined);
    channel.writeInbound(request(), request());
    channel
        .eventLoop()
        .execute(
            () -> {
              GatewayCoreFixture.open(gate, directory);
              pipelined.closeIfIdle();
            });
    channel.runPendingTasks();
    assertEquals(
        2, channel.outboundMessages().stream().filter(HttpResponse.class::isInstance).count());
  }

  /** Returns a core that delays requests until its gate opens. */
  private GatewayCore startingCore() {
    return GatewayCoreFixture.create(
        directory, new EndpointTracker(directory, service -> 0, 1), now::get, gate);
  }

  private EmbeddedChannel connection(final GatewayCore served) {
    return new EmbeddedChannel(handler(served));
  }

  private CallerHandler handler(final GatewayCore served) {
    final UnreadTime unread = new UnreadTime(served.polls(), now::get);
    return new CallerHandler(
        served,
        new RequestDecoderSlot(() -> served.limits().maxHeaderBytes()),
        new RequestHeadTimer(now::get, unread),
        unread);
  }

  /** Returns the statuses of the responses, and the ends of connections that they announce. */
  private static List<String> responses(final EmbeddedChannel channel) {
    return channel.outboundMessages().stream()
        .filter(HttpResponse.class::isInstance)
        .map(HttpResponse.class::cast)
        .map(
            response ->
                response.status().code()
                    + (HttpUtil.isKeepAlive(response) ? "" : " " + HttpHeaderValues.CLOSE))
        .toList();
  }

  /** Guards against a response in the place of an earlier request's. */
  @Test
  void requestThatArrivesAtTheEndOfResponseIsServedAfterThoseThatWait() {
    final EmbeddedChannel channel = connection(startingCore());
    channel.writeInbound(properRequest(), request());
    channel
        .eventLoop()
        .execute(
            () -> {
              GatewayCoreFixture.open(gate, directory);
              channel.pipeline().fireChannelRead(properRequest());
            });
    channel.runPendingTasks();
    assertEquals(List.of("503", "400", "503"), responses(channel));
  }

  /** Guards against a body whose rest arrives as the response before it ends. */
  @Test
  void requestWhoseRestArrivesAtTheEndOfResponseIsServed() {
    final EmbeddedChannel channel = connection(startingCore());
    final DefaultHttpRequest head =
        new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/without-host");
    head.headers().set(HttpHeaderNames.CONTENT_LENGTH, 4);
    channel.writeInbound(properRequest(), head, new DefaultHttpContent(bytes("ab")));
    channel
        .eventLoop()
        .execute(
            () -> {
              GatewayCoreFixture.open(gate, directory);
              channel.pipeline().fireChannelRead(new DefaultLastHttpContent(bytes("cd")));
            });
    channel.runPendingTasks();
    assertEquals(List.of("503", "400"), responses(channel));
    assertTrue(channel.isOpen());
  }

  /** Guards against requests that a stop drops because they wait behind another one. */
  @Test
  void requestsThatWaitAreAnsweredBeforeTheirConnectionIsClosedByStop() {
    final GatewayCore stopping = startingCore();
    final EmbeddedChannel channel = connection(stopping);
    channel.writeInbound(properRequest(), request(), properRequest());
    stopping.startDraining(0);
    GatewayCoreFixture.open(gate, directory);
    channel.runPendingTasks();
    assertEquals(List.of("503", "400", "503 close"), responses(channel));
    assertFalse(channel.isOpen());
  }

  /**
   * Guards against a caller whose queue is full without a word in the log, whose requests are kept
   * without end, or whose close is not read (GONE).
   */
  @Test
  void requestThatFindsTheQueueFullIsRefusedInItsTurnWhileReadingGoesOn() {
    try (RecordedLog log = new RecordedLog(CallerHandler.class)) {
      final EmbeddedChannel channel = connection(startingCore());
      channel.writeInbound(properRequest());
      for (int number = 0; number < 32; number++) {
        channel.writeInbound(request());
      }
      assertEquals(List.of(), log.messages());
      final DefaultFullHttpRequest dropped = properRequest();
      channel.writeInbound(dropped, properRequest());
      assertEquals(0, dropped.refCnt(), "dropped requests must not be kept");
      assertTrue(channel.config().isAutoRead());
      assertEquals(
          List.of(
              "the queue of caller embedded is full: the next request is refused, and its"
                  + " connection ends"),
          log.messages());
      GatewayCoreFixture.open(gate, directory);
      channel.runPendingTasks();
      final List<String> expected = new ArrayList<>(Collections.nCopies(33, "400"));
      expected.set(0, "503");
      expected.add("503 close");
      assertEquals(expected, responses(channel));
      assertFalse(channel.isOpen());
    }
  }

  /**
   * Guards against the body of a request being taken for the next request once the queue is full.
   */
  @Test
  void requestWhoseBodyFindsTheQueueFullIsRefused() {
    final EmbeddedChannel channel = connection(startingCore());
    final DefaultHttpRequest head =
        new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/without-host");
    head.headers().set(HttpHeaderNames.CONTENT_LENGTH, 80);
    channel.writeInbound(properRequest(), head);
    for (int part = 0; part < 40; part++) {
      channel.writeInbound(new DefaultHttpContent(bytes("ab")));
    }
    GatewayCoreFixture.open(gate, directory);
    channel.runPendingTasks();
    assertEquals(List.of("503", "503 close"), responses(channel));
    assertFalse(channel.isOpen());
  }

  private static ByteBuf bytes(final String text) {
    return Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII);
  }

  /** Returns a request that is refused with 503, as there is no configuration. */
  private static DefaultFullHttpRequest properRequest() {
    final DefaultFullHttpRequest proper =
        new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/look/1");
    proper.headers().set(HttpHeaderNames.HOST, "orders.example");
    EndpointSide.callerHeaders(proper.headers()::set, "request-1", 1_000, "");
    return proper;
  }

  @Test
  void requestDelayedAtTheStartIsRefusedAtTheExit() {
    final GatewayCore starting = startingCore();
    final EmbeddedChannel channel = connection(starting);
    channel.writeInbound(request());
    assertNull(channel.readOutbound());
    starting.startDraining(0);
    starting.startExit();
    assertNotNull(channel.readOutbound());
  }

  /** Guards against a process that exits while a caller still sends the body of its request. */
  @Test
  void requestReceivedInPartIsRefusedAtTheExit() {
    final EmbeddedChannel channel = new EmbeddedChannel(handler);
    final DefaultHttpRequest head =
        new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/book/1");
    head.headers().set(HttpHeaderNames.CONTENT_LENGTH, 10);
    channel.writeInbound(head, new DefaultHttpContent(bytes("half")));
    core.startDraining(0);
    core.startExit();
    channel.runPendingTasks();
    assertEquals(List.of("503 close"), responses(channel));
    assertFalse(channel.isOpen());
  }

  /** Guards against a process that exits between two answers on a connection. */
  @Test
  void exitWaitsForRequestsThatWaitBehindAnAnsweredOne() {
    final GatewayCore stopping = startingCore();
    final EmbeddedChannel channel = connection(stopping);
    channel.writeInbound(properRequest(), properRequest());
    stopping.startDraining(0);
    stopping.startExit();
    assertTrue(stopping.awaitsAnswers());
    channel.runPendingTasks();
    assertFalse(stopping.awaitsAnswers());
    assertEquals(List.of("503", "503 close"), responses(channel));
  }

  private static DefaultFullHttpRequest request() {
    return new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/without-host");
  }

  @Test
  void connectionOfCallerThatNeverReadsIsClosedAfterTheIdleTimeout() {
    final EmbeddedChannel channel = new EmbeddedChannel(slowCaller, handler);
    channel.writeInbound(request());
    for (long atMs = 0; atMs < LIMIT_MS; atMs += STEP_MS) {
      now.set(atMs);
      channel.advanceTimeBy(STEP_MS, TimeUnit.MILLISECONDS);
      channel.runScheduledPendingTasks();
      channel.runPendingTasks();
    }
    assertFalse(channel.isOpen());
  }

  /** Holds what is written until the caller reads. */
  private static final class SlowCaller extends ChannelOutboundHandlerAdapter {
    private Runnable pendingWrites = () -> {};

    @Override
    public void write(
        final ChannelHandlerContext context, final Object message, final ChannelPromise promise) {
      final Runnable earlier = pendingWrites;
      pendingWrites =
          () -> {
            earlier.run();
            context.writeAndFlush(message, promise);
          };
    }

    void read() {
      pendingWrites.run();
      pendingWrites = () -> {};
    }
  }
}
