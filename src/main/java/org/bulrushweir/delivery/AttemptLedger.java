package org.bulrushweir.delivery;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.bulrushweir.api.AttemptKey;
import org.bulrushweir.api.Incarnation;

/**
 * Records the state of every attempt sent to an endpoint, so that its sidecar can prove that an
 * attempt was not run. If a router cancels or resumes an attempt that has not arrived yet, the
 * ledger stores a tombstone for it ({@link AttemptState#NOT_RUN}), and the sidecar refuses the
 * attempt if it arrives later. Not thread-safe.
 *
 * <p>Entries in a final state are evicted after {@link #RETENTION_MS}. Evicting a tombstone is
 * safe: the sidecar accepts attempts of a router only over the newest connection, and the
 * connection over which the sidecar answered that the attempt was not run is newer than the one
 * that may still carry the attempt.
 */
public final class AttemptLedger {

  /** How long an entry is kept after it has reached a final state, in milliseconds. */
  public static final long RETENTION_MS = 60_000;

  /** The entries by attempt. */
  private final Map<AttemptKey, Entry> entries = new HashMap<>();

  /** The incarnation of the sidecar that keeps this ledger. */
  private final Incarnation self;

  /**
   * Creates an empty ledger.
   *
   * @param self the incarnation of the sidecar that keeps this ledger
   */
  public AttemptLedger(final Incarnation self) {
    this.self = self;
  }

  /**
   * Returns the state of an attempt.
   *
   * @param key the attempt
   * @return its state, empty if the attempt was never seen or its entry was evicted
   */
  public Optional<AttemptState> state(final AttemptKey key) {
    return Optional.ofNullable(entries.get(key)).map(Entry::state);
  }

  /**
   * Returns whether a message is addressed to this incarnation of the sidecar.
   *
   * @param incarnation the incarnation that the sender addresses, zero if it doesn't know one
   * @return true if it is this incarnation or zero
   */
  public boolean matchesIncarnation(final long incarnation) {
    return incarnation == 0 || incarnation == self.value();
  }

  /**
   * Sets the state of an attempt.
   *
   * @param key the attempt
   * @param state its new state
   * @param nowMs the current time of the sidecar's clock, in milliseconds
   */
  public void put(final AttemptKey key, final AttemptState state, final long nowMs) {
    entries.put(key, new Entry(state, nowMs));
  }

  /**
   * Stores a tombstone for an attempt that has not arrived yet, so that it will be refused when it
   * does.
   *
   * @param key the attempt
   * @param sentTo the incarnation of the sidecar that it was sent to
   * @param nowMs the current time of the sidecar's clock, in milliseconds
   * @return true if the attempt was not run and never will be; false if it is in another state than
   *     {@link AttemptState#NOT_RUN}, or if another incarnation of the sidecar may have run it
   */
  public boolean markNotRunIfUnseen(final AttemptKey key, final long sentTo, final long nowMs) {
    if (!entries.containsKey(key) && sentTo != self.value()) {
      return false;
    }
    final Entry entry =
        entries.computeIfAbsent(key, absent -> new Entry(AttemptState.NOT_RUN, nowMs));
    return entry.state() == AttemptState.NOT_RUN;
  }

  /**
   * Decides whether a router that has lost the connection to an attempt can resume its answer.
   * Stores a tombstone for an attempt that was never seen.
   *
   * @param key the attempt
   * @param sentTo the incarnation of the sidecar that it was sent to
   * @param nowMs the current time of the sidecar's clock, in milliseconds
   * @return {@link ResumeAnswer#RESUMED} if the ledger has an entry of the attempt, which may be a
   *     tombstone (the sidecar then answers by its state), {@link ResumeAnswer#LOST} if it was sent
   *     to another incarnation, which may have run it, and {@link ResumeAnswer#NEVER_SEEN}
   *     otherwise
   */
  public ResumeAnswer resume(final AttemptKey key, final long sentTo, final long nowMs) {
    if (entries.containsKey(key)) {
      return ResumeAnswer.RESUMED;
    }
    if (sentTo != self.value()) {
      return ResumeAnswer.LOST;
    }
    put(key, AttemptState.NOT_RUN, nowMs);
    return ResumeAnswer.NEVER_SEEN;
  }

  /**
   * Evicts the entries that have been in a final state for longer than {@link #RETENTION_MS}.
   *
   * @param nowMs the current time of the sidecar's clock, in milliseconds
   * @return the evicted attempts, empty if there are none
   */
  public List<AttemptKey> evictExpired(final long nowMs) {
    final List<AttemptKey> expired = new ArrayList<>();
    entries.forEach(
        (key, entry) -> {
          if (entry.state().isFinal() && nowMs - entry.sinceMs() > RETENTION_MS) {
            expired.add(key);
          }
        });
    entries.keySet().removeAll(expired);
    return expired;
  }

  /**
   * Returns the number of entries.
   *
   * @return the number of attempts in the ledger
   */
  public int size() {
    return entries.size();
  }

  /**
   * State of an attempt.
   *
   * @param state the state
   * @param sinceMs when the state was set, in milliseconds of the sidecar's clock
   */
  private record Entry(AttemptState state, long sinceMs) {}
}
