package org.bulrushweir.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.util.List;
import okhttp3.OkHttpClient;
import org.bulrushweir.api.EndpointId;
import org.bulrushweir.api.ServiceName;
import org.bulrushweir.api.ZoneName;
import org.bulrushweir.balancing.PromptSegment;
import org.bulrushweir.catalog.EndpointRecord;
import org.junit.jupiter.api.Test;

/** Tests the reading of what engines hold. */
class EngineCacheClientTest {

  /** Guards against an engine whose address ends the reading of all engines' caches. */
  @Test
  void engineWithoutUsableAddressFailsAlone() {
    for (final int port : List.of(0, -1, 65_536)) {
      final EndpointRecord engine =
          new EndpointRecord(
              new EndpointId("engine-1"),
              new ServiceName("assistant"),
              "127.0.0.1",
              port,
              new ZoneName("zone-1"),
              8,
              false,
              1);
      assertTrue(
          new EngineCacheClient(new OkHttpClient(), 100).held(engine).isCompletedExceptionally());
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
}
