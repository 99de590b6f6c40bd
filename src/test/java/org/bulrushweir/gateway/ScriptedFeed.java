package org.bulrushweir.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.bulrushweir.store.ChangeFeed;
import org.bulrushweir.store.ChangePage;
import org.bulrushweir.store.HistoryLostException;
import org.bulrushweir.store.PlatformException;
import org.bulrushweir.store.RowChange;
import org.bulrushweir.store.SharedTable;

/**
 * A store of one table that can be restored from an older copy. A poll waits until there is a
 * change and fails when the store is restored.
 */
final class ScriptedFeed implements ChangeFeed {

  private final Map<String, RowChange> rows = new TreeMap<>();
  private final List<RowChange> history = new ArrayList<>();
  private long version;
  private long era = 1;
  private int snapshots;
  private long waitingAfter;
  private CompletableFuture<ChangePage> waiting = new CompletableFuture<>();

  /** Sets a row; an empty value removes it. */
  void set(final String key, final String value) {
    version++;
    final Optional<String> stored = value.isEmpty() ? Optional.empty() : Optional.of(value);
    final RowChange change = new RowChange(key, stored, version);
    history.add(change);
    if (stored.isPresent()) {
      rows.put(key, change);
    } else {
      rows.remove(key);
    }
    if (version > waitingAfter) {
      waiting.complete(changesAfter(waitingAfter));
    }
  }

  /** Goes back to how the store was at a version. */
  void restore(final long toVersion) {
    final List<RowChange> kept =
        history.stream().filter(change -> change.version() <= toVersion).toList();
    rows.clear();
    history.clear();
    version = 0;
    final CompletableFuture<ChangePage> interrupted = waiting;
    waiting = new CompletableFuture<>();
    kept.forEach(change -> set(change.key(), change.value().orElse("")));
    version = toVersion;
    era++;
    interrupted.completeExceptionally(new PlatformException("connection reset", false, null));
  }

  private ChangePage changesAfter(final long after) {
    return new ChangePage(
        history.stream().filter(change -> change.version() > after).toList(), version, era);
  }

  long version() {
    return version;
  }

  int snapshots() {
    return snapshots;
  }

  @Override
  public CompletableFuture<ChangePage> snapshot(final SharedTable table) {
    snapshots++;
    return CompletableFuture.completedFuture(
        new ChangePage(List.copyOf(rows.values()), version, era));
  }

  @Override
  public CompletableFuture<ChangePage> changes(
      final SharedTable table, final long after, final long waitMs) {
    if (after > version) {
      return CompletableFuture.failedFuture(new HistoryLostException());
    }
    if (after == version && waitMs > 0) {
      waitingAfter = after;
      waiting = new CompletableFuture<>();
      return waiting;
    }
    return CompletableFuture.completedFuture(changesAfter(after));
  }

  @Override
  public CompletableFuture<Void> put(
      final SharedTable table, final String key, final String value) {
    set(key, value);
    return CompletableFuture.completedFuture(null);
  }

  @Override
  public CompletableFuture<Void> remove(final SharedTable table, final String key) {
    set(key, "");
    return CompletableFuture.completedFuture(null);
  }
}
