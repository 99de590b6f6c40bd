package org.bulrushweir.gateway;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import org.bulrushweir.store.RowChange;
import org.bulrushweir.store.SharedTable;

/**
 * Holds the first requests of a process until its first reads of the store are answered, since they
 * could only be refused. As soon as a read fails, nothing is held any more.
 */
final class StartGate {

  private final Set<SharedTable> unread;
  private boolean closed = true;
  private final List<Runnable> onRead = new ArrayList<>();
  private final List<Runnable> held = new ArrayList<>();

  /**
   * Creates a closed gate.
   *
   * @param tables the tables that must have been read
   */
  StartGate(final Set<SharedTable> tables) {
    unread = EnumSet.copyOf(tables);
  }

  /**
   * Tells whether requests are to be held.
   *
   * @return false once all tables are read or one could not be read
   */
  boolean isClosed() {
    return closed;
  }

  /**
   * Holds a request.
   *
   * @param request serves it when the gate opens
   */
  void hold(final Runnable request) {
    held.add(request);
  }

  /**
   * Adds something to do once all tables are read, before requests are served.
   *
   * @param action what to do
   */
  void whenRead(final Runnable action) {
    onRead.add(action);
  }

  private void read(final SharedTable table) {
    unread.remove(table);
    if (unread.isEmpty()) {
      onRead.forEach(Runnable::run);
      onRead.clear();
      open();
    }
  }

  private void open() {
    closed = false;
    final List<Runnable> requests = List.copyOf(held);
    held.clear();
    requests.forEach(Runnable::run);
  }

  /**
   * Wraps a table's listener.
   *
   * @param table the table
   * @param listener learns all that the wrapper learns, before the gate opens
   * @return the wrapper
   */
  TableListener watch(final SharedTable table, final TableListener listener) {
    return new TableListener() {
      @Override
      public void onSnapshot(final List<RowChange> rows) {
        listener.onSnapshot(rows);
        read(table);
      }

      @Override
      public void onChanges(final List<RowChange> rows) {
        listener.onChanges(rows);
      }

      @Override
      public void onUpToDate() {
        listener.onUpToDate();
      }

      @Override
      public void onUnreachable(final long calledAtMs) {
        listener.onUnreachable(calledAtMs);
        if (isClosed()) {
          open();
        }
      }
    };
  }
}
