package org.bulrushweir.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.util.List;
import okhttp3.OkHttpClient;
import org.bulrushweir.balancing.PromptSegment;
import org.junit.jupiter.api.Test;

/** Tests the reading of what engines hold. */
class EngineCacheClientTest {

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
