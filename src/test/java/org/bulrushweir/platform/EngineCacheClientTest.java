package org.bulrushweir.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.net.InetAddress;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import okhttp3.OkHttpClient;
import org.bulrushweir.api.EndpointId;
import org.bulrushweir.api.ServiceName;
import org.bulrushweir.api.ZoneName;
import org.bulrushweir.balancing.PromptSegment;
import org.bulrushweir.catalog.EndpointRecord;
import org.bulrushweir.gateway.EndlessCacheList;
import org.bulrushweir.testing.RawAnswer;
import org.bulrushweir.testing.Repetition;
import org.bulrushweir.testing.StutteringServer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;

/** Tests the reading of what engines hold. */
class EngineCacheClientTest {

  private static final long LIST_TIMEOUT_MS = 10_000;
  private static final long TIMEOUT_MS = 500;
  private static final long MAX_MS = 2_000;

  private static EndpointRecord engine(final int port) {
    return new EndpointRecord(
        new EndpointId("engine-1"),
        new ServiceName("assistant"),
        "127.0.0.1",
        port,
        new ZoneName("zone-1"),
        8,
        false,
        1);
  }

  /** Guards against an engine whose address ends the reading of all engines' caches. */
  @Test
  void engineWithoutUsableAddressFailsAlone() {
    for (final int port : List.of(0, -1, 65_536)) {
      assertTrue(
          new EngineCacheClient(new OkHttpClient(), 100)
              .held(engine(port))
              .isCompletedExceptionally());
    }
  }

  /** Guards against entries that are never evicted, or whose tokens wrap around. */
  @Test
  void entriesWithoutProperTokensAreLeftOut() throws JsonProcessingException {
    final String list =
        """
        {"held": [["", "a", 800, "m"], ["", "b", 0, "m"], ["", "c", -1, "m"], ["", "d", "7", "m"],
          ["", "e", 4294967297, "m"], ["", "f", 1e300, "m"], ["", "7", 10, "m"]]}
        """;
    assertEquals(
        List.of(new PromptSegment(0xa, 800), new PromptSegment(7, 10)),
        new EngineCacheClient(new OkHttpClient(), TIMEOUT_MS).parse(list));
  }

  /** Guards against the list of an engine's cache that was read before. */
  @ParameterizedTest
  @MethodSource("org.bulrushweir.testing.Repetition#all")
  void listThatIsSentAgainIsNotTakenForTheNextOne(final Repetition repetition) throws Exception {
    final OkHttpClient http = new OkHttpClient();
    try (StutteringServer server =
        new StutteringServer(
            repetition,
            (path, number) ->
                RawAnswer.ok("{\"held\":[[\"\",\"" + (number + 1) + "\",16,\"m\"]]}"))) {
      final EngineCacheClient caches = new EngineCacheClient(http, LIST_TIMEOUT_MS);
      final EndpointRecord engine = engine(server.port());
      for (int segment = 1; segment <= 3; segment++) {
        assertEquals(List.of(new PromptSegment(segment, 16)), caches.held(engine).join());
        StutteringServer.awaitIdleRepetitions();
      }
    } finally {
      http.dispatcher().executorService().shutdown();
      http.connectionPool().evictAll();
    }
  }

  @Test
  void partsAreReadAndOddEntriesLeftOut() throws JsonProcessingException {
    final String answer =
        "{\"epoch\":1,\"next\":3,\"held\":[[\"\",\"5c1e07a2\",800,\"m\"],[\"\",\"odd\",1,\"m\"],"
            + "[\"\",\"ffffffffffffffff\",16,\"m\"]]}";
    assertEquals(
        List.of(new PromptSegment(0x5c1e07a2L, 800), new PromptSegment(-1, 16)),
        new EngineCacheClient(new OkHttpClient(), 100).parse(answer));
  }

  /** Guards against an engine that fills the memory with a list, or a head, without end. */
  @ParameterizedTest
  @EnumSource
  void listWithoutEndIsGivenUp(final EndlessCacheList.Kind kind) throws Exception {
    final InetAddress address = InetAddress.getLoopbackAddress();
    try (EndlessCacheList endless = new EndlessCacheList(address, kind)) {
      final Future<List<PromptSegment>> list =
          new EngineCacheClient(new OkHttpClient(), TIMEOUT_MS).held(engine(endless.port()));
      assertThrows(ExecutionException.class, () -> list.get(MAX_MS, TimeUnit.MILLISECONDS));
      final long untilMs = System.currentTimeMillis() + MAX_MS;
      while (endless.openConnections() > 0 && System.currentTimeMillis() < untilMs) {
        Thread.sleep(10);
      }
      assertEquals(1, endless.requests());
      assertEquals(0, endless.openConnections());
    }
  }
}
