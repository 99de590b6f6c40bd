package org.bulrushweir.gateway;

import java.util.List;
import org.bulrushweir.store.RowChange;

/** Forwards all notifications of a table to two listeners that use different rows of it. */
final class CombinedTableListener extends ForwardingTableListener {

  private final TableListener first;

  /**
   * Creates a combined listener.
   *
   * @param first receives each notification first
   * @param second receives it afterwards
   */
  CombinedTableListener(final TableListener first, final TableListener second) {
    super(second);
    this.first = first;
  }

  @Override
  public void onSnapshot(final List<RowChange> rows) {
    first.onSnapshot(rows);
    super.onSnapshot(rows);
  }

  @Override
  public void onChanges(final List<RowChange> rows) {
    first.onChanges(rows);
    super.onChanges(rows);
  }

  @Override
  public void onUpToDate(final long confirmedAtMs) {
    first.onUpToDate(confirmedAtMs);
    super.onUpToDate(confirmedAtMs);
  }

  @Override
  public void onRestored(final long answeredUntilMs) {
    first.onRestored(answeredUntilMs);
    super.onRestored(answeredUntilMs);
  }

  @Override
  public void onUnreachable(final long answeredUntilMs) {
    first.onUnreachable(answeredUntilMs);
    super.onUnreachable(answeredUntilMs);
  }
}
