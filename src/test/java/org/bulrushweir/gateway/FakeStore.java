package org.bulrushweir.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.bulrushweir.store.ChangeFeed;
import org.bulrushweir.store.ChangePage;
import org.bulrushweir.store.HistoryLostException;
import org.bulrushweir.store.PlatformException;
import org.bulrushweir.store.RowChange;
import org.bulrushweir.store.SharedTable;

/** A store of one table in virtual time. Each client has its connections, which may go silent. */
final class FakeStore {

  private static final long HISTORY_MS = 20_000;
  private static final long TIMEOUT_MS = 700;
  private static final long TRANSIT_MS = 10;

  private final List<Change> history = new ArrayList<>();
  private long nowMs;
  private long version = 1;
  private long era = 1;

  /** Sets a row. */
  void set(final String key) {
    version++;
    history.add(new Change(new RowChange(key, Optional.of("" + version), version), nowMs));
  }

  /** Counts a change of another table. */
  void setElsewhere() {
    version++;
  }

  /** Restores an older copy: the last change is gone, and its version is given out again. */
  void restore() {
    version = history.removeLast().row().version() - 1;
    era++;
  }

  long era() {
    return era;
  }

  /** Returns the newest version of the table as of a time. */
  long newestChange(final long asOfMs) {
    return history.stream()
        .filter(change -> change.atMs() <= asOfMs)
        .mapToLong(change -> change.row().version())
        .max()
        .orElse(0);
  }

  void advanceTo(final long timeMs) {
    nowMs = timeMs;
  }

  /** A row's change and its time. */
  private record Change(RowChange row, long atMs) {}

  /** A client's view of the store. */
  final class Client implements ChangeFeed {

    private final List<Call> waiting = new ArrayList<>();
    private int calls;
    private int snapshots;
    private boolean unreachable;

    int calls() {
      return calls;
    }

    int snapshots() {
      return snapshots;
    }

    /** Lets the connections of the calls in progress go silent; new ones work. */
    void silence() {
      waiting.forEach(call -> call.silent = true);
    }

    /** Lets all connections, also new ones, go silent. */
    void setUnreachable(final boolean value) {
      unreachable = value;
      silence();
    }

    /** Returns how many calls are in progress. */
    int open() {
      return (int) waiting.stream().filter(call -> !call.result.isDone()).count();
    }

    /** Answers the calls that are due. */
    void advance() {
      for (final Call call : List.copyOf(waiting)) {
        if (call.silent && nowMs >= call.startedMs + call.waitMs + TIMEOUT_MS) {
          call.result.completeExceptionally(new PlatformException("timeout", true, null));
        } else if (!call.silent && nowMs >= call.startedMs + TRANSIT_MS) {
          call.answer();
        }
        if (call.result.isDone()) {
          waiting.remove(call);
        }
      }
    }

    private CompletableFuture<ChangePage> call(final long after, final long waitMs) {
      calls++;
      final Call call = new Call(after, waitMs, nowMs, unreachable);
      waiting.add(call);
      return call.result;
    }

    @Override
    public CompletableFuture<ChangePage> snapshot(final SharedTable table) {
      snapshots++;
      return call(Call.WHOLE_TABLE, 0);
    }

    @Override
    public CompletableFuture<ChangePage> changes(
        final SharedTable table, final long after, final long waitMs) {
      return call(after, waitMs);
    }

    @Override
    public CompletableFuture<Void> put(
        final SharedTable table, final String key, final String value) {
      throw new IllegalStateException("followers write no row");
    }

    @Override
    public CompletableFuture<Void> remove(final SharedTable table, final String key) {
      throw new IllegalStateException("followers remove no row");
    }
  }

  /** A call in progress. */
  private final class Call {

    private static final long WHOLE_TABLE = -1;

    private final CompletableFuture<ChangePage> result = new CompletableFuture<>();
    private final long after;
    private final long waitMs;
    private final long startedMs;
    private boolean silent;

    Call(final long after, final long waitMs, final long startedMs, final boolean silent) {
      this.after = after;
      this.waitMs = waitMs;
      this.startedMs = startedMs;
      this.silent = silent;
    }

    private void answer() {
      if (after > version || (after >= 0 && after < newestChange(nowMs - HISTORY_MS))) {
        result.completeExceptionally(new HistoryLostException());
        return;
      }
      final List<RowChange> rows =
          history.stream().map(Change::row).filter(row -> row.version() > after).toList();
      if (!rows.isEmpty() || nowMs >= startedMs + waitMs) {
        result.complete(new ChangePage(rows, version, era));
      }
    }
  }
}
