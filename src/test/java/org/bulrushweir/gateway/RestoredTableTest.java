package org.bulrushweir.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.bulrushweir.store.RowChange;
import org.bulrushweir.store.SharedTable;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests that a table is followed on after the store was restored from an older copy. */
class RestoredTableTest {

  private static final long STEP_MS = 10;

  private final EmbeddedChannel channel = new EmbeddedChannel();
  private final ScriptedFeed feed = new ScriptedFeed();
  private final Map<String, String> followed = new TreeMap<>();

  @BeforeEach
  void follow() {
    feed.set("a", "1");
    feed.set("b", "2");
    new TableFollower(feed, SharedTable.ENDPOINTS, listener(), channel.eventLoop(), () -> 0)
        .start();
    advance(1_000);
    assertEquals(Map.of("a", "1", "b", "2"), followed);
  }

  private TableListener listener() {
    return new TableListener() {
      @Override
      public void onSnapshot(final List<RowChange> rows) {
        followed.clear();
        onChanges(rows);
      }

      @Override
      public void onChanges(final List<RowChange> rows) {
        for (final RowChange row : rows) {
          row.value()
              .ifPresentOrElse(
                  value -> followed.put(row.key(), value), () -> followed.remove(row.key()));
        }
      }

      @Override
      public void onUpToDate(final long confirmedAtMs) {
        // Confirmations are not checked here.
      }

      @Override
      public void onRestored(final long answeredUntilMs) {
        // The snapshot that follows is checked.
      }

      @Override
      public void onUnreachable(final long answeredUntilMs) {
        // The poll that waits fails when the store is restored.
      }
    };
  }

  private void advance(final long ms) {
    for (long passed = 0; passed < ms; passed += STEP_MS) {
      channel.advanceTimeBy(STEP_MS, TimeUnit.MILLISECONDS);
      channel.runScheduledPendingTasks();
      channel.runPendingTasks();
    }
  }

  @Test
  void changeUnderVersionThatIsGivenOutAgainIsReceived() {
    feed.restore(1);
    feed.set("c", "3");
    assertEquals(2, feed.version());
    advance(1_000);
    assertEquals(Map.of("a", "1", "c", "3"), followed);
  }

  @Test
  void changesThatReachBeyondTheLastKnownVersionAreAllReceived() {
    feed.restore(1);
    feed.set("c", "3");
    feed.set("d", "4");
    advance(1_000);
    assertEquals(Map.of("a", "1", "c", "3", "d", "4"), followed);
  }

  @Test
  void changeSomeTimeAfterRestorationIsReceived() {
    feed.restore(1);
    advance(1_000);
    feed.set("c", "3");
    advance(1_000);
    assertEquals(Map.of("a", "1", "c", "3"), followed);
  }

  @Test
  void restoredTableIsReadOnceAndThenFollowed() {
    final int before = feed.snapshots();
    feed.restore(1);
    advance(3_000);
    assertEquals(before + 1, feed.snapshots());
  }

  @Test
  void everyRestorationIsNoticed() {
    for (int count = 0; count < 3; count++) {
      feed.restore(1);
      feed.set("c", Integer.toString(count));
      advance(1_000);
      assertEquals(Map.of("a", "1", "c", Integer.toString(count)), followed);
    }
    assertTrue(feed.snapshots() <= 4, "snapshots: " + feed.snapshots());
  }
}
