package org.bulrushweir.gateway;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.bulrushweir.api.Clock;
import org.bulrushweir.api.EndpointId;
import org.bulrushweir.api.FindingCollector;
import org.bulrushweir.api.Identifiers;
import org.bulrushweir.catalog.EndpointDirectory;
import org.bulrushweir.catalog.EndpointRecord;
import org.bulrushweir.platform.EndpointDecoder;
import org.bulrushweir.store.RowChange;

/** Updates the endpoint directory from the store's table of endpoint registrations. */
final class EndpointListener implements TableListener {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final EndpointDecoder decoder = new EndpointDecoder();
  private final EndpointDirectory directory;
  private final Clock clock;
  private final RegistrationObserver observer;
  private boolean restored;
  private boolean lastChangesMinor;
  private long confirmedAtMs;

  /**
   * Creates the listener.
   *
   * @param directory the directory to update
   * @param clock the process's clock
   */
  EndpointListener(final EndpointDirectory directory, final Clock clock) {
    this(directory, clock, (endpoint, version) -> {});
  }

  /**
   * Creates the listener.
   *
   * @param directory the directory to update
   * @param clock the process's clock
   * @param observer receives all registrations that can be read
   */
  EndpointListener(
      final EndpointDirectory directory, final Clock clock, final RegistrationObserver observer) {
    this.directory = directory;
    this.clock = clock;
    this.observer = observer;
  }

  @Override
  public void onSnapshot(final List<RowChange> rows) {
    final List<EndpointRecord> entries = new ArrayList<>();
    rows.forEach(row -> decode(row).ifPresent(entries::add));
    if (restored) {
      directory.replaceAllRestored(entries, clock.nowMs());
      restored = false;
    } else {
      directory.replaceAll(entries, clock.nowMs());
    }
    logger.atInfo().log("read the registrations of %d endpoints", entries.size());
  }

  @Override
  public void onChanges(final List<RowChange> rows) {
    lastChangesMinor = true;
    rows.forEach(this::apply);
  }

  @Override
  public boolean areLastChangesMinor() {
    return lastChangesMinor;
  }

  /** Returns whether an endpoint stays usable for the same requests, and warm, as registered. */
  private boolean isMinor(final EndpointRecord entry) {
    final Optional<EndpointRecord> known = directory.find(entry.id());
    return known.isPresent()
        && !known.get().draining()
        && !entry.draining()
        && entry.coldForMs() == 0
        && entry.isSameRun(known.get())
        && entry.service().equals(known.get().service())
        && entry.zone().equals(known.get().zone())
        && entry.host().equals(known.get().host())
        && entry.port() == known.get().port();
  }

  private void apply(final RowChange row) {
    final Optional<EndpointRecord> entry = decode(row);
    lastChangesMinor &= entry.isPresent() && isMinor(entry.get());
    if (entry.isPresent()) {
      if (!directory.put(entry.get())) {
        logger.atInfo().log(
            "endpoint %s at version %d: ignoring a registration of a run that has ended",
            row.key(), row.version());
        return;
      }
      logger.atInfo().log(
          "endpoint %s of %s at version %d: %s",
          row.key(),
          entry.get().service(),
          row.version(),
          directory.find(entry.get().id()).filter(EndpointRecord::draining).isPresent()
              ? "draining"
              : "accepts requests");
      return;
    }
    if (Identifiers.isValid(row.key())) {
      directory.remove(new EndpointId(row.key()), clock.nowMs());
      logger.atInfo().log(
          "endpoint %s at version %d: %s",
          row.key(), row.version(), row.value().isPresent() ? "invalid registration" : "gone");
    }
  }

  private Optional<EndpointRecord> decode(final RowChange row) {
    if (row.value().isEmpty()) {
      return Optional.empty();
    }
    final FindingCollector findings = new FindingCollector();
    final Optional<EndpointRecord> entry = decoder.decode(row.key(), row.value().get(), findings);
    findings.findings().forEach(finding -> logger.atFine().log("%s", finding));
    entry.ifPresent(endpoint -> observer.observe(endpoint, row.version()));
    return entry;
  }

  @Override
  public void onUpToDate(final long asOfMs) {
    confirmedAtMs = Math.max(confirmedAtMs, asOfMs);
    directory.markStoreReachable(clock.nowMs());
  }

  /**
   * Returns the age of the registrations.
   *
   * @param nowMs the current time, in Unix milliseconds
   * @return the time since the store confirmed them, in milliseconds
   */
  long ageMs(final long nowMs) {
    return nowMs - confirmedAtMs;
  }

  /** Endpoints that have registered since the copy are missing from it, as after an outage. */
  @Override
  public void onRestored(final long answeredUntilMs) {
    restored = true;
    directory.markStoreUnreachable(answeredUntilMs);
  }

  /** Removes the endpoints that have not renewed their lapsed registrations in time. */
  void expire() {
    directory
        .expire(clock.nowMs())
        .forEach(id -> logger.atInfo().log("removed endpoint %s: its registration lapsed", id));
  }

  @Override
  public void onUnreachable(final long answeredUntilMs) {
    directory.markStoreUnreachable(answeredUntilMs);
  }
}
