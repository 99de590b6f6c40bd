package org.bulrushweir.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import org.bulrushweir.api.FindingCollector;
import org.bulrushweir.api.ZoneName;
import org.junit.jupiter.api.Test;

/** Tests the reading of rows that operators write by hand. */
class EvacuationDecoderTest {

  private final EvacuationDecoder decoder = new EvacuationDecoder();
  private final FindingCollector findings = new FindingCollector();

  @Test
  void keyNamesTheZone() {
    final ZoneName zone = new ZoneName("z-0.b");
    assertTrue(decoder.isEvacuation("evacuate/z-0.b"));
    assertEquals("evacuate/z-0.b", EvacuationDecoder.key(zone));
    assertEquals(Optional.of(zone), decoder.decode("evacuate/z-0.b", findings));
    assertTrue(findings.isEmpty());
  }

  /** Guards against a row of an operator's slip that stops the following of the table. */
  @Test
  void keyWithoutUsableZoneIsReported() {
    for (final String zone : List.of("", "/", "z0/z1", " z0", "z\n0", "z".repeat(101))) {
      final FindingCollector one = new FindingCollector();
      assertEquals(Optional.empty(), decoder.decode("evacuate/" + zone, one));
      assertFalse(one.isEmpty(), zone);
    }
  }

  @Test
  void otherRowsOfTheTableAreNoEvacuations() {
    for (final String key : List.of("config", "evacuate", "evacuated/z0", "Evacuate/z0", "")) {
      assertFalse(decoder.isEvacuation(key), key);
    }
  }
}
