package org.bulrushweir.platform;

import java.util.Optional;
import org.bulrushweir.api.EndpointId;
import org.bulrushweir.api.FindingCollector;
import org.bulrushweir.api.ServiceName;
import org.bulrushweir.api.ZoneName;
import org.bulrushweir.catalog.EndpointRecord;
import org.bulrushweir.wire.RemoteAddress;

/** Decodes the registrations of endpoints, which others may have written too. */
public final class EndpointDecoder {

  private static final String READY = "ready";
  private static final String DRAINING = "draining";
  private static final String COLD_REMAINING = "cold_remaining_ms";

  /** The most slots of an endpoint that are plausible. */
  private static final int MAX_SLOTS = 100_000;

  /** The longest time for which an endpoint counts as cold, in milliseconds: ten minutes. */
  private static final long MAX_COLD_MS = 600_000;

  /** The end of the year 9999, in Unix milliseconds. A later start is no time. */
  private static final long MAX_START_MS = 253_402_300_799_999L;

  /**
   * Decodes a registration.
   *
   * @param key the row's key
   * @param text the row's value
   * @param findings why it can't be used
   * @return the endpoint, empty if there is any finding
   */
  public Optional<EndpointRecord> decode(
      final String key, final String text, final FindingCollector findings) {
    return JsonReader.parse("endpoint " + key, text, findings)
        .flatMap(reader -> decode(key, reader, findings));
  }

  private static Optional<EndpointRecord> decode(
      final String key, final JsonReader reader, final FindingCollector findings) {
    final Optional<EndpointId> id = id(key, reader);
    final Optional<ServiceName> service = reader.value("service", ServiceName::new);
    final Optional<ZoneName> zone = reader.value("zone", ZoneName::new);
    final Optional<RemoteAddress> address = reader.value("address", RemoteAddress::parse);
    final int slots = reader.intNumber("slots");
    final String state = reader.text("state");
    reader.integer("sequence");
    final long startedAtMs = reader.wholeNumber("born");
    if (startedAtMs < 0 || startedAtMs > MAX_START_MS) {
      reader.report("born", "is out of range");
    }
    if (slots < 1 || slots > MAX_SLOTS) {
      reader.report("slots", "is out of range");
    }
    if (!state.equals(READY) && !state.equals(DRAINING)) {
      reader.report("state", "is none that is known");
    }
    if (!findings.isEmpty()) {
      return Optional.empty();
    }
    return Optional.of(
        new EndpointRecord(
            id.get(),
            service.get(),
            address.get().host(),
            address.get().port(),
            zone.get(),
            slots,
            state.equals(DRAINING),
            startedAtMs,
            coldForMs(reader)));
  }

  /** Reads how long the endpoint stays cold; what is no such time counts as warm. */
  private static long coldForMs(final JsonReader reader) {
    return reader.has(COLD_REMAINING)
        ? Math.clamp(reader.integer(COLD_REMAINING), 0, MAX_COLD_MS)
        : 0;
  }

  private static Optional<EndpointId> id(final String key, final JsonReader reader) {
    try {
      return Optional.of(new EndpointId(key));
    } catch (IllegalArgumentException e) {
      reader.report("id", "can't be used: " + e.getMessage());
      return Optional.empty();
    }
  }
}
