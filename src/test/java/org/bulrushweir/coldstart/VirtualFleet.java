package org.bulrushweir.coldstart;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.function.Function;
import org.bulrushweir.api.NodeId;

/**
 * Gateways in virtual time that all want to send as much as they may to one cold endpoint. They
 * exchange reports over links that delay, lose and cut, and read each other's registrations.
 */
final class VirtualFleet {

  private static final long STEP_MS = 10;
  private static final long REPORT_MS = 200;
  private static final long READ_MS = 15_000;

  /** The longest time from the write of a request to its arrival, in milliseconds. */
  private static final int MAX_TRANSIT_MS = 150;

  private static final int MAX_ANSWER_MS = 100;

  /** The longest time for which a link to the endpoint holds requests back, in milliseconds. */
  private static final long MAX_HELD_MS = 4_000;

  private static final int MAX_REPORT_DELAY_MS = 50;
  private static final double REPORT_LOSS = 0.05;

  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::atMs));
  private final PriorityQueue<Long> arrivals = new PriorityQueue<>();
  private final Set<NodeId> registered = new TreeSet<>();
  private final List<Gateway> gateways = new ArrayList<>();
  private final Function<NodeId, Sender> senders;
  private final SplittableRandom random;
  private long nowMs;

  VirtualFleet(final Function<NodeId, Sender> senders, final long seed) {
    this.senders = senders;
    this.random = new SplittableRandom(seed);
  }

  /** What decides at a gateway. */
  interface Sender {
    void registered(Set<NodeId> listed, long nowMs);

    void heard(NodeId peer, boolean leaving, long nowMs);

    void update(long nowMs);

    boolean trySend(long nowMs);

    void answered(long nowMs);
  }

  /** Something that happens at a time. */
  private record Event(long atMs, Runnable action) {}

  /** A gateway's process and links; a restart replaces the decider. */
  private final class Gateway {
    private final NodeId id;
    private Sender sender;
    private long startedMs;
    private long frozenUntilMs;
    private long cutInUntilMs;
    private long cutOutUntilMs;
    private long heldUntilMs;
    private boolean dead;
    private long nextReportMs;
    private long nextReadMs;
    private final List<NodeId> waiting = new ArrayList<>();

    Gateway(final NodeId id) {
      this.id = id;
      start();
    }

    void start() {
      dead = false;
      waiting.clear();
      sender = senders.apply(id);
      startedMs = nowMs;
      frozenUntilMs = 0;
      registered.add(id);
      nextReadMs = nowMs + random.nextInt(300);
      nextReportMs = nowMs + random.nextInt((int) REPORT_MS);
    }

    boolean runs() {
      return !dead && nowMs >= frozenUntilMs;
    }

    void receive(final NodeId peer, final boolean leaving) {
      if (dead || nowMs < cutInUntilMs) {
        return;
      }
      if (nowMs < frozenUntilMs) {
        waiting.add(peer);
        return;
      }
      sender.heard(peer, leaving, nowMs);
    }

    void step() {
      if (!runs()) {
        return;
      }
      // After a freeze callers' requests may be handled before timers and datagrams.
      while (sender.trySend(nowMs)) {
        send();
      }
      waiting.forEach(peer -> sender.heard(peer, false, nowMs));
      waiting.clear();
      if (nowMs >= nextReadMs) {
        nextReadMs = nowMs + READ_MS;
        sender.registered(Set.copyOf(registered), nowMs);
      }
      if (nowMs >= nextReportMs) {
        nextReportMs = nowMs + REPORT_MS;
        sender.update(nowMs);
        report(false);
      }
    }

    /** Sends a request. What a cut link holds back of a process is lost when that process dies. */
    void send() {
      final Sender sending = sender;
      final boolean held = nowMs < heldUntilMs;
      final long atMs = Math.max(nowMs, heldUntilMs) + random.nextInt(MAX_TRANSIT_MS);
      final long answeredMs = atMs + random.nextInt(MAX_ANSWER_MS);
      events.add(
          new Event(
              atMs,
              () -> {
                if (!held || !dead && sending == sender) {
                  arrivals.add(atMs);
                  events.add(new Event(answeredMs, () -> answer(sending)));
                }
              }));
    }

    void answer(final Sender sending) {
      if (nowMs < frozenUntilMs) {
        events.add(new Event(frozenUntilMs, () -> answer(sending)));
      } else {
        sending.answered(nowMs);
      }
    }

    void report(final boolean leaving) {
      for (final Gateway peer : gateways) {
        if (peer != this && nowMs >= cutOutUntilMs && random.nextDouble() >= REPORT_LOSS) {
          final long atMs = nowMs + 1 + random.nextInt(MAX_REPORT_DELAY_MS);
          events.add(new Event(atMs, () -> peer.receive(id, leaving)));
        }
      }
    }

    void stop() {
      report(true);
      dead = true;
    }
  }

  /** Starts further gateways. */
  void join(final int count) {
    for (int number = 0; number < count; number++) {
      gateways.add(new Gateway(new NodeId("gateway-" + gateways.size())));
    }
  }

  private Gateway any() {
    return gateways.get(random.nextInt(gateways.size()));
  }

  /** Something happens to one gateway. */
  private void disturb() {
    final Gateway gateway = any();
    final long forMs = 200 + random.nextInt(random.nextBoolean() ? 3_000 : 45_000);
    switch (random.nextInt(7)) {
      case 0 -> gateway.dead = true;
      case 1 -> gateway.stop();
      case 2 -> gateway.frozenUntilMs = nowMs + forMs;
      case 3 -> gateway.cutInUntilMs = nowMs + forMs;
      case 4 -> {
        gateway.cutInUntilMs = nowMs + forMs;
        gateway.cutOutUntilMs = nowMs + forMs;
      }
      case 5 -> gateway.heldUntilMs = nowMs + Math.min(forMs, MAX_HELD_MS);
      default -> join(1);
    }
    if (gateway.dead) {
      events.add(new Event(nowMs + forMs, gateway::start));
    }
  }

  /**
   * Runs and returns the largest number of arrivals in any second.
   *
   * @param forMs how long
   * @param disturbEveryMs the mean time between two disturbances, zero for none
   */
  int run(final long forMs, final int disturbEveryMs) {
    final long endMs = nowMs + forMs;
    final ArrayDeque<Long> second = new ArrayDeque<>();
    int most = 0;
    for (; nowMs < endMs; nowMs += STEP_MS) {
      while (!events.isEmpty() && events.peek().atMs() <= nowMs) {
        events.poll().action().run();
      }
      if (disturbEveryMs > 0 && random.nextInt((int) (disturbEveryMs / STEP_MS)) == 0) {
        disturb();
      }
      gateways.forEach(Gateway::step);
      while (!arrivals.isEmpty() && arrivals.peek() <= nowMs) {
        final long atMs = arrivals.poll();
        second.addLast(atMs);
        while (second.getFirst() <= atMs - 1_000) {
          second.removeFirst();
        }
        most = Math.max(most, second.size());
      }
    }
    return most;
  }
}
