package org.bulrushweir.gateway;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import org.bulrushweir.store.RowChange;
import org.bulrushweir.store.SharedTable;

/**
 * Delays the first requests of a process until its first reads of the store have completed, since
 * it could only refuse them before. If a read fails, requests are no longer delayed.
 */
final class StartGate {

  private final Set<SharedTable> unreadTables;
  private boolean closed = true;
  private final List<Runnable> readTasks = new ArrayList<>();
  private final List<Runnable> delayed = new ArrayList<>();

  /**
   * Creates a closed gate.
   *
   * @param tables the tables that must be read before the gate opens
   */
  StartGate(final Set<SharedTable> tables) {
    unreadTables = EnumSet.copyOf(tables);
  }

  /**
   * Returns whether requests must be delayed.
   *
   * @return false once all tables have been read or one read has failed
   */
  boolean isClosed() {
    return closed;
  }

  /**
   * Delays a request.
   *
   * @param request the task that serves the request; runs when the gate opens
   */
  void delay(final Runnable request) {
    delayed.add(request);
  }

  /**
   * Adds a task that runs once all tables have been read, before the delayed requests.
   *
   * @param action the task
   */
  void whenTablesRead(final Runnable action) {
    readTasks.add(action);
  }

  private void tableRead(final SharedTable table) {
    unreadTables.remove(table);
    if (unreadTables.isEmpty()) {
      readTasks.forEach(Runnable::run);
      readTasks.clear();
      open();
    }
  }

  /** Opens the gate and runs the delayed requests. */
  void open() {
    closed = false;
    final List<Runnable> requests = List.copyOf(delayed);
    delayed.clear();
    requests.forEach(Runnable::run);
  }

  /**
   * Wraps a table's listener, so that the gate notices when the table was read or could not be
   * read.
   *
   * @param table the table
   * @param listener receives all notifications of the table, each before the gate reacts to it
   * @return the wrapping listener
   */
  TableListener wrap(final SharedTable table, final TableListener listener) {
    return new ForwardingTableListener(listener) {
      @Override
      public void onSnapshot(final List<RowChange> rows) {
        super.onSnapshot(rows);
        tableRead(table);
      }

      @Override
      public void onUnreachable(final long answeredUntilMs) {
        super.onUnreachable(answeredUntilMs);
        if (isClosed()) {
          open();
        }
      }
    };
  }
}
