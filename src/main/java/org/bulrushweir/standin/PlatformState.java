package org.bulrushweir.standin;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.bulrushweir.api.Clock;

/** Keeps the tables and objects of the platform stand-in in memory. */
public final class PlatformState {

  private final Map<String, TreeMap<String, StoredRow>> tables = new HashMap<>();
  private final Map<String, String> objects = new HashMap<>();
  private final Deque<StoredRow> history = new ArrayDeque<>();
  private final Deque<DueWrite> dueWrites = new ArrayDeque<>();
  private final Clock clock;
  private long lastVersion;
  private long historyFrom;
  private long era = 1;

  /**
   * Creates an empty platform.
   *
   * @param clock the clock
   */
  public PlatformState(final Clock clock) {
    this.clock = clock;
  }

  /**
   * Returns the newest version.
   *
   * @return the version of the last transaction
   */
  public synchronized long version() {
    applyDueWrites();
    return lastVersion;
  }

  /**
   * Returns the steady clock.
   *
   * @return the time in milliseconds
   */
  public long nowMs() {
    return clock.nowMs();
  }

  /**
   * Reads the rows of a range.
   *
   * @param table the table
   * @param from the first key
   * @param to the key after the last one, null for no end
   * @return the rows in order
   */
  public synchronized List<StoredRow> range(
      final String table, final String from, final String to) {
    applyDueWrites();
    final TreeMap<String, StoredRow> rows = table(table);
    return List.copyOf(
        (to == null ? rows.tailMap(from) : rows.subMap(from, to.compareTo(from) < 0 ? from : to))
            .values());
  }

  private TreeMap<String, StoredRow> table(final String name) {
    return tables.computeIfAbsent(name, key -> new TreeMap<>());
  }

  /**
   * Waits for changes of a table.
   *
   * @param table the table
   * @param after the version after which changes are wanted
   * @param waitMs how long to wait, in milliseconds
   * @return the changed rows, empty if that history was dropped or never was
   * @throws InterruptedException if the thread is interrupted
   */
  public synchronized Optional<List<StoredRow>> changes(
      final String table, final long after, final long waitMs) throws InterruptedException {
    final long untilMs = clock.nowMs() + waitMs;
    while (true) {
      applyDueWrites();
      if (after < historyFrom || after > lastVersion) {
        return Optional.empty();
      }
      final List<StoredRow> rows =
          history.stream()
              .filter(row -> row.version() > after && row.table().equals(table))
              .toList();
      final long leftMs = untilMs - clock.nowMs();
      if (!rows.isEmpty() || leftMs <= 0) {
        return Optional.of(rows);
      }
      wait(Math.min(leftMs, untilNextWriteMs()));
    }
  }

  private long untilNextWriteMs() {
    return dueWrites.isEmpty()
        ? Long.MAX_VALUE
        : Math.max(1, dueWrites.getFirst().dueMs() - clock.nowMs());
  }

  /** Forgets all changes; those who follow them must read the tables anew. */
  public synchronized void dropHistory() {
    history.clear();
    lastVersion++;
    historyFrom = lastVersion;
    notifyAll();
  }

  /**
   * Returns how often the platform was restored, counted from one.
   *
   * @return the era
   */
  public synchronized long era() {
    return era;
  }

  /**
   * Copies everything.
   *
   * @return the copy
   */
  public synchronized PlatformCopy copy() {
    applyDueWrites();
    final Map<String, Map<String, StoredRow>> copied = new HashMap<>();
    tables.forEach((name, rows) -> copied.put(name, Map.copyOf(rows)));
    return new PlatformCopy(copied, Map.copyOf(objects), List.copyOf(history), lastVersion);
  }

  /**
   * Goes back to a copy. Everything written since is gone, and its versions are given out again.
   *
   * @param copy the copy
   */
  public synchronized void restore(final PlatformCopy copy) {
    tables.clear();
    copy.tables().forEach((name, rows) -> tables.put(name, new TreeMap<>(rows)));
    objects.clear();
    objects.putAll(copy.objects());
    history.clear();
    history.addAll(copy.history());
    dueWrites.clear();
    lastVersion = copy.version();
    era++;
    notifyAll();
  }

  /**
   * Commits a transaction, or changes nothing.
   *
   * @param conditions rows with the versions that they must have, zero for none
   * @param writes the rows to set, or to remove where the value is null
   * @return the rows in conditions if one does not hold, otherwise nothing
   */
  public synchronized Optional<List<StoredRow>> commit(
      final List<StoredRow> conditions, final List<StoredRow> writes) {
    applyDueWrites();
    final List<StoredRow> current = new ArrayList<>();
    boolean holds = true;
    for (final StoredRow condition : conditions) {
      final StoredRow row = table(condition.table()).get(condition.key());
      holds &= condition.version() == (row == null ? 0 : row.version());
      if (row != null) {
        current.add(row);
      }
    }
    if (!holds) {
      return Optional.of(current);
    }
    apply(writes);
    return Optional.empty();
  }

  private void apply(final List<StoredRow> writes) {
    lastVersion++;
    for (final StoredRow write : writes) {
      final StoredRow row = new StoredRow(write.table(), write.key(), write.value(), lastVersion);
      if (row.exists()) {
        table(row.table()).put(row.key(), row);
      } else {
        table(row.table()).remove(row.key());
      }
      history.addLast(row);
    }
    notifyAll();
  }

  /**
   * Sets or removes rows later, whatever they hold then.
   *
   * @param writes the rows
   * @param delayMs how much later, in milliseconds
   */
  public synchronized void commitLater(final List<StoredRow> writes, final long delayMs) {
    if (delayMs <= 0) {
      apply(writes);
      return;
    }
    dueWrites.addLast(new DueWrite(clock.nowMs() + delayMs, List.copyOf(writes)));
    notifyAll();
  }

  private void applyDueWrites() {
    while (!dueWrites.isEmpty() && dueWrites.getFirst().dueMs() <= clock.nowMs()) {
      apply(dueWrites.removeFirst().writes());
    }
  }

  /**
   * Stores an object.
   *
   * @param key the key
   * @param content the content
   */
  public synchronized void putObject(final String key, final String content) {
    objects.put(key, content);
  }

  /**
   * Reads an object.
   *
   * @param key the key
   * @return the content, if the object exists
   */
  public synchronized Optional<String> object(final String key) {
    return Optional.ofNullable(objects.get(key));
  }

  /**
   * Rows that are to be written later.
   *
   * @param dueMs when
   * @param writes the rows
   */
  private record DueWrite(long dueMs, List<StoredRow> writes) {}
}
