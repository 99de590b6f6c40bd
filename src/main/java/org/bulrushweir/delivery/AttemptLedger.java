package org.bulrushweir.delivery;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.bulrushweir.api.AttemptKey;
import org.bulrushweir.api.Incarnation;

/**
 * Remembers what became of the attempts that were meant for an endpoint, so that the sidecar can
 * prove that one was not run. An attempt that is cancelled or asked after before it comes is noted
 * as not run, and refused when it comes late. Not safe for use by many threads.
 *
 * <p>Settled attempts are forgotten after a while. By then nothing can bring them any more: the
 * sidecar takes attempts of a router over its newest connection only, and the connection over which
 * the proof was given is newer than the one that may still carry the attempt.
 */
public final class AttemptLedger {

  /** How long settled attempts are remembered, in milliseconds. */
  public static final long RETENTION_MS = 60_000;

  /** What became of the attempts. */
  private final Map<AttemptKey, Entry> entries = new HashMap<>();

  /** The life of the sidecar. */
  private final Incarnation self;

  /**
   * Creates an empty ledger.
   *
   * @param self the life of the sidecar
   */
  public AttemptLedger(final Incarnation self) {
    this.self = self;
  }

  /**
   * Returns how far an attempt has come.
   *
   * @param key the attempt
   * @return its state, empty if it was not seen or is forgotten
   */
  public Optional<AttemptState> state(final AttemptKey key) {
    return Optional.ofNullable(entries.get(key)).map(Entry::state);
  }

  /**
   * Tells whether a message is meant for this life of the sidecar.
   *
   * @param incarnation the life that the sender means, zero if it does not know
   * @return false if it is meant for another life
   */
  public boolean matchesIncarnation(final long incarnation) {
    return incarnation == 0 || incarnation == self.value();
  }

  /**
   * Takes note of a change.
   *
   * @param key the attempt
   * @param state its new state
   * @param nowMs the current time
   */
  public void put(final AttemptKey key, final AttemptState state, final long nowMs) {
    entries.put(key, new Entry(state, nowMs));
  }

  /**
   * Makes sure that an attempt will not run, if it has not come yet.
   *
   * @param key the attempt
   * @param sentTo the life of the sidecar that it was sent to
   * @param nowMs the current time
   * @return true if it was not run and never will be; false too if another life may have run it
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
   * Answers a router that has lost the connection over which it sent an attempt.
   *
   * @param key the attempt
   * @param sentTo the life of the sidecar that it was sent to
   * @param nowMs the current time
   * @return whether parts follow; never seen attempts are noted as not run
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
   * Forgets what was settled long ago.
   *
   * @param nowMs the current time
   * @return the attempts that are forgotten
   */
  public List<AttemptKey> evictExpired(final long nowMs) {
    final List<AttemptKey> old = new ArrayList<>();
    entries.forEach(
        (key, entry) -> {
          if (entry.state().isFinal() && nowMs - entry.sinceMs() > RETENTION_MS) {
            old.add(key);
          }
        });
    entries.keySet().removeAll(old);
    return old;
  }

  /**
   * Counts the attempts.
   *
   * @return how many are remembered
   */
  public int size() {
    return entries.size();
  }

  /**
   * Describes what became of an attempt.
   *
   * @param state its state
   * @param sinceMs since when, in milliseconds
   */
  private record Entry(AttemptState state, long sinceMs) {}
}
