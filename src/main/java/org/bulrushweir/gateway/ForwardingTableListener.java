package org.bulrushweir.gateway;

import java.util.List;
import org.bulrushweir.store.RowChange;

/** Forwards all notifications to another listener. Subclasses react to some of them besides. */
class ForwardingTableListener implements TableListener {

  private final TableListener target;

  /**
   * Creates a forwarding listener.
   *
   * @param target receives all notifications
   */
  ForwardingTableListener(final TableListener target) {
    this.target = target;
  }

  @Override
  public void onSnapshot(final List<RowChange> rows) {
    target.onSnapshot(rows);
  }

  @Override
  public void onChanges(final List<RowChange> rows) {
    target.onChanges(rows);
  }

  @Override
  public boolean areLastChangesMinor() {
    return target.areLastChangesMinor();
  }

  @Override
  public void onUpToDate(final long confirmedAtMs) {
    target.onUpToDate(confirmedAtMs);
  }

  @Override
  public void onRestored(final long answeredUntilMs) {
    target.onRestored(answeredUntilMs);
  }

  @Override
  public void onUnreachable(final long answeredUntilMs) {
    target.onUnreachable(answeredUntilMs);
  }
}
