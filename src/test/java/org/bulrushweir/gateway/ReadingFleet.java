package org.bulrushweir.gateway;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.bulrushweir.api.NodeId;
import org.bulrushweir.store.ReadingSchedule;
import org.bulrushweir.store.RowChange;
import org.bulrushweir.store.SharedTable;
import org.bulrushweir.wire.generated.RouterReport;

/** Gateways that follow a table in virtual time and report their readings to each other. */
final class ReadingFleet {

  private static final long STEP_MS = 10;
  private static final long REPORT_INTERVAL_MS = 200;

  private final FakeStore store = new FakeStore();
  private final List<Member> members = new ArrayList<>();
  private final List<String> breaches = new ArrayList<>();
  private final Random random = new Random(7);
  private final boolean shared;
  private final boolean minorChanges;
  private long nowMs = 1_000_000;

  /** Creates gateways and lets them start. */
  ReadingFleet(final int size, final boolean shared, final boolean minorChanges) {
    this.shared = shared;
    this.minorChanges = minorChanges;
    store.advanceTo(nowMs);
    store.set("first");
    for (int number = 0; number < size; number++) {
      members.add(new Member(number));
    }
    advance(5_000);
  }

  FakeStore store() {
    return store;
  }

  List<Member> members() {
    return members;
  }

  /** Returns confirmations that were false, and times without a confirmation. */
  List<String> breaches() {
    return breaches;
  }

  /** Returns how many calls were made so far. */
  long calls() {
    return members.stream().mapToLong(member -> member.client.calls()).sum();
  }

  /** Lets time pass. */
  void advance(final long ms) {
    for (final long untilMs = nowMs + ms; nowMs < untilMs; ) {
      nowMs += STEP_MS;
      store.advanceTo(nowMs);
      members.forEach(Member::step);
      members.forEach(Member::report);
      members.forEach(Member::verify);
    }
  }

  /** Changes a row and returns how long it takes until all members that run have read it. */
  long spread(final String key) {
    store.set(key);
    return untilRead();
  }

  /** Returns how long it takes until all members that run have read the newest change. */
  long untilRead() {
    final long startMs = nowMs;
    while (members.stream().anyMatch(member -> !member.frozen && !member.isUpToDate())) {
      advance(STEP_MS);
      if (nowMs - startMs > 30_000) {
        throw new AssertionError("not read within 30 s");
      }
    }
    return nowMs - startMs;
  }

  /** A gateway. */
  final class Member {

    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final FakeStore.Client client = store.new Client();
    private final ReadingsSection section = new ReadingsSection();
    private final List<Runnable> unreadReports = new ArrayList<>();
    private final NodeId id;
    private final TableFollower follower;
    private boolean frozen;
    private boolean cutOff;
    private RouterReport forged;
    private boolean announces;
    private long behindMs;
    private long nextReportMs;
    private long readVersion;
    private long confirmedAtMs;
    private long unreachableSinceMs;

    private Member(final int number) {
      id = new NodeId("gateway-" + number);
      nextReportMs = nowMs + random.nextInt((int) REPORT_INTERVAL_MS);
      channel.freezeTime();
      follower =
          new TableFollower(
              client,
              SharedTable.CONFIGURATION,
              listener(),
              channel.eventLoop(),
              () -> nowMs,
              new ReadingSchedule(shared, random::nextDouble),
              () -> announces = true);
      section.add(SharedTable.CONFIGURATION, follower);
      follower.start();
    }

    FakeStore.Client client() {
      return client;
    }

    /** Freezes or resumes the process; reports wait in its socket meanwhile. */
    void setFrozen(final boolean value) {
      frozen = value;
    }

    /** Separates the process from its peers. */
    void setCutOff(final boolean value) {
      cutOff = value;
    }

    /** Sets a report that is sent instead of the true one, null for none. */
    void forge(final RouterReport report) {
      forged = report;
    }

    boolean isUpToDate() {
      return readVersion >= store.newestChange(nowMs);
    }

    long confirmationAgeMs() {
      return nowMs - confirmedAtMs;
    }

    /** Returns the time that was stated with the last failure, zero without one. */
    long unreachableSinceMs() {
      return unreachableSinceMs;
    }

    long timeMs() {
      return nowMs;
    }

    private void step() {
      behindMs += STEP_MS;
      client.advance();
      if (frozen) {
        return;
      }
      unreadReports.forEach(Runnable::run);
      unreadReports.clear();
      channel.advanceTimeBy(behindMs, TimeUnit.MILLISECONDS);
      behindMs = 0;
      channel.runScheduledPendingTasks();
      channel.runPendingTasks();
    }

    private void report() {
      if (frozen || cutOff || (nowMs < nextReportMs && !announces)) {
        return;
      }
      nextReportMs = nowMs + REPORT_INTERVAL_MS;
      announces = false;
      final RouterReport.Builder message = RouterReport.newBuilder();
      section.write(message, nowMs);
      final RouterReport report = forged == null ? message.build() : forged;
      for (final Member peer : members) {
        if (peer != this && !peer.cutOff) {
          peer.unreadReports.add(() -> peer.section.read(id, report, nowMs));
        }
      }
    }

    /** A confirmation must not cover a change that was not read, but for the way of an answer. */
    private void verify() {
      if (!frozen && store.newestChange(confirmedAtMs - 2 * STEP_MS) > readVersion) {
        breaches.add(id + " at " + nowMs + " confirmed as of " + confirmedAtMs);
      }
    }

    private TableListener listener() {
      return new TableListener() {
        @Override
        public void onSnapshot(final List<RowChange> rows) {
          readVersion = 0;
          onChanges(rows);
        }

        @Override
        public void onChanges(final List<RowChange> rows) {
          rows.forEach(row -> readVersion = Math.max(readVersion, row.version()));
        }

        @Override
        public boolean areLastChangesMinor() {
          return minorChanges;
        }

        @Override
        public void onUpToDate(final long asOfMs) {
          confirmedAtMs = Math.max(confirmedAtMs, asOfMs);
        }

        @Override
        public void onRestored(final long answeredUntilMs) {
          confirmedAtMs = 0;
        }

        @Override
        public void onUnreachable(final long answeredUntilMs) {
          unreachableSinceMs = answeredUntilMs;
        }
      };
    }
  }
}
