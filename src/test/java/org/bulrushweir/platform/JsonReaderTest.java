package org.bulrushweir.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.bulrushweir.api.Finding;
import org.bulrushweir.api.FindingCollector;
import org.junit.jupiter.api.Test;

/** Tests the reading of JSON that others may have written. */
class JsonReaderTest {

  @Test
  void textThatIsNoJsonBecomesOneFinding() {
    for (final String text : List.of("{", "[".repeat(20_000), "\"open", "no")) {
      final FindingCollector findings = new FindingCollector();
      assertTrue(JsonReader.parse("entry", text, findings).isEmpty());
      assertEquals(
          List.of(new Finding("entry", 0, 0, "is not JSON")), List.copyOf(findings.findings()));
    }
  }

  @Test
  void fieldsOfWhatIsNoObjectAreMissing() {
    for (final String text : List.of("", "7", "null", "[]")) {
      final FindingCollector findings = new FindingCollector();
      assertEquals("", JsonReader.parse("entry", text, findings).orElseThrow().text("name"));
      assertEquals(1, findings.findings().size());
    }
  }
}
