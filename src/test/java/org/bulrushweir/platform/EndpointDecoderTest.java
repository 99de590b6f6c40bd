package org.bulrushweir.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import org.bulrushweir.api.FindingCollector;
import org.bulrushweir.api.ServiceName;
import org.bulrushweir.api.ZoneName;
import org.bulrushweir.catalog.EndpointRecord;
import org.junit.jupiter.api.Test;

/** Tests the decoding of registrations, some of which others have written. */
class EndpointDecoderTest {

  private static final long STARTED_AT_MS = 1_700_000_000_000L;
  private static final String PROPER =
      EndpointSide.registration(
          new ServiceName("assistant"),
          "10.0.0.1:80",
          new ZoneName("zone-1"),
          8,
          false,
          STARTED_AT_MS);

  private final FindingCollector findings = new FindingCollector();

  private Optional<EndpointRecord> decode(final String text) {
    return new EndpointDecoder().decode("i-1", text, findings);
  }

  @Test
  void properRegistrationIsDecoded() {
    final EndpointRecord entry = decode(PROPER).orElseThrow();
    assertEquals("10.0.0.1", entry.host());
    assertEquals(80, entry.port());
    assertFalse(entry.draining());
    assertEquals(STARTED_AT_MS, entry.startedAtMs());
  }

  /** An endpoint always states its start; an entry without it comes from another writer. */
  @Test
  void entryWithoutWholeNumberAsStartNamesNoEndpoint() {
    final String born = "\"born\":" + STARTED_AT_MS;
    for (final String other :
        List.of(
            "\"other\":1",
            "\"born\":null",
            "\"born\":\"" + STARTED_AT_MS + "\"",
            "\"born\":1700000000000.5",
            "\"born\":1.7e12",
            "\"born\":true",
            "\"born\":99999999999999999999")) {
      assertTrue(decode(PROPER.replace(born, other)).isEmpty(), other);
    }
  }

  @Test
  void foreignEntriesNameNoEndpoint() {
    assertTrue(decode("not json").isEmpty());
    assertTrue(decode("[]").isEmpty());
    assertTrue(decode(PROPER.replace("\"ready\"", "\"resting\"")).isEmpty());
    assertTrue(decode(PROPER.replace("10.0.0.1:80", "10.0.0.1")).isEmpty());
    assertTrue(decode(PROPER.replace("10.0.0.1:80", "host.example:80")).isEmpty());
    assertTrue(decode(PROPER.replace("\"slots\":8", "\"slots\":\"8\"")).isEmpty());
    assertTrue(decode(PROPER.replace("\"service\"", "\"servis\"")).isEmpty());
    assertFalse(findings.isEmpty());
  }

  /** Guards against an empty text that passes for a name until it is used. */
  @Test
  void entryWithAnEmptyTextNamesNoEndpoint() {
    for (final String text : List.of("assistant", "10.0.0.1:80", "zone-1", "ready")) {
      assertTrue(decode(PROPER.replace('"' + text + '"', "\"\"")).isEmpty(), text);
    }
  }

  /** Guards against addresses and numbers that no process can use. */
  @Test
  void entryWithValuesOutOfRangeNamesNoEndpoint() {
    for (final String port : List.of("0", "65536", "99999999999")) {
      assertTrue(decode(PROPER.replace(":80\"", ":" + port + "\"")).isEmpty(), port);
    }
    for (final String host : List.of("[fe80::1%eth0]", "[::1%1]")) {
      assertTrue(decode(PROPER.replace("10.0.0.1:80", host + ":80")).isEmpty(), host);
    }
    for (final String number : List.of("1e400", "-1e400", "9".repeat(30), "9".repeat(5_000))) {
      assertTrue(decode(PROPER.replace("\"slots\":8", "\"slots\":" + number)).isEmpty(), number);
    }
    for (final long start : List.of(Long.MAX_VALUE, Long.MIN_VALUE, -1L)) {
      assertTrue(decode(PROPER.replace("" + STARTED_AT_MS, "" + start)).isEmpty(), "" + start);
    }
  }
}
