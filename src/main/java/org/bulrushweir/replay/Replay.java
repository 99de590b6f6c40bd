package org.bulrushweir.replay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.bulrushweir.api.EndpointId;
import org.bulrushweir.api.RequestId;
import org.bulrushweir.membership.EndpointInfo;
import org.bulrushweir.membership.GossipPacer;
import org.bulrushweir.simulation.EventQueue;
import org.bulrushweir.trace.TraceRecord;

/** Replays one trace under one policy. */
public final class Replay {

  /** When the replay starts, in milliseconds; a clock is never at zero. */
  private static final long START_MS = 1_000_000;

  /** How long the fleet runs before the trace starts, in milliseconds. */
  private static final long WARM_UP_MS = 6_000;

  /** How long the replay goes on after the last request, in milliseconds. */
  private static final long COOL_DOWN_MS = 120_000;

  /** How often loads are sampled, in milliseconds. */
  private static final long SAMPLE_INTERVAL_MS = 100;

  /** How often sidecars do what is due, in milliseconds. */
  private static final long TICK_MS = 20;

  /** The virtual time. */
  private final EventQueue queue = new EventQueue(START_MS);

  /** The endpoints by id, those that have left included. */
  private final Map<EndpointId, ReplayEndpoint> endpoints = new LinkedHashMap<>();

  /** The routers. */
  private final List<ReplayRouter> routers = new ArrayList<>();

  /** What the list of VMs has said, and since when. */
  private final List<PastList> lists = new ArrayList<>();

  /** The tokens that each chat has had so far. */
  private final Map<Long, Integer> knownTokens = new HashMap<>();

  /** Where each chat's last answer came from. */
  private final Map<Long, EndpointId> lastEndpoints = new HashMap<>();

  /** The options. */
  private final ReplayOptions options;

  /** The policy. */
  private final ReplayPolicy policy;

  /** What is measured. */
  private final ReplayResult result;

  /** Decides everything that is random. */
  private final SplittableRandom random;

  /** How many requests have come. */
  private long requestCount;

  /** When the last request comes, in milliseconds. */
  private long lastRequestMs;

  private Replay(final ReplayOptions options, final ReplayPolicy policy) {
    this.options = options;
    this.policy = policy;
    this.result = new ReplayResult(policy.name());
    this.random = new SplittableRandom(options.seed());
  }

  /**
   * Replays a trace.
   *
   * @param trace the trace
   * @param options the options
   * @param policy the policy
   * @return what was measured
   */
  public static ReplayResult run(
      final List<TraceRecord> trace, final ReplayOptions options, final ReplayPolicy policy) {
    final Replay replay = new Replay(options, policy);
    replay.build();
    replay.scheduleTrace(trace);
    replay.queue.runUntil(replay.lastRequestMs + COOL_DOWN_MS);
    return replay.result;
  }

  private void build() {
    for (int index = 1; index <= options.endpoints(); index++) {
      join(new EndpointId("engine-" + index));
    }
    for (int index = 1; index <= options.routers(); index++) {
      final ReplayRouter router = new ReplayRouter(this, "router-" + index, random.split());
      routers.add(router);
      scheduleGossip(router);
    }
  }

  private void scheduleTrace(final List<TraceRecord> trace) {
    for (final TraceRecord entry : trace) {
      queue.schedule(WARM_UP_MS + entry.timeMs(), () -> happen(entry));
      lastRequestMs = START_MS + WARM_UP_MS + entry.timeMs();
    }
    queue.schedule(WARM_UP_MS, this::sample);
  }

  private void happen(final TraceRecord entry) {
    switch (entry) {
      case TraceRecord.ChatRequested chat -> request(chat);
      case TraceRecord.EndpointJoined joined -> join(new EndpointId(joined.endpoint()));
      case TraceRecord.EndpointLeft left ->
          endpoints.get(new EndpointId(left.endpoint())).leave(left.planned());
      case TraceRecord.EndpointSlowed slowed ->
          endpoints.get(new EndpointId(slowed.endpoint())).slowDown(slowed.factor());
    }
  }

  private void request(final TraceRecord.ChatRequested chat) {
    final ReplayRouter router = routers.get(random.nextInt(routers.size()));
    final boolean hints = random.nextDouble() < options.hintShare();
    final EndpointId hint = hints ? lastEndpoints.get(chat.chatHash()) : null;
    result.countRequest();
    router.serve(chat, hint);
  }

  private void join(final EndpointId id) {
    final ReplayEndpoint endpoint = new ReplayEndpoint(this, id, random.split());
    endpoints.put(id, endpoint);
    listChanged();
    scheduleGossip(endpoint);
    scheduleTick(endpoint);
  }

  /** Takes note that the list of VMs is another from now on. */
  void listChanged() {
    final List<EndpointInfo> live =
        endpoints.values().stream()
            .filter(ReplayEndpoint::isListed)
            .map(ReplayEndpoint::info)
            .toList();
    lists.add(new PastList(queue.nowMs(), live));
  }

  /**
   * Returns the list of VMs as routers see it.
   *
   * @return the endpoints on the lagging list
   */
  List<EndpointInfo> laggingList() {
    final long visibleMs = queue.nowMs() - options.listLagMs();
    List<EndpointInfo> visible = lists.getFirst().endpoints();
    for (final PastList list : lists) {
      if (list.sinceMs() <= visibleMs) {
        visible = list.endpoints();
      }
    }
    return visible;
  }

  private void scheduleTick(final ReplayEndpoint endpoint) {
    queue.schedule(
        TICK_MS,
        () -> {
          if (endpoint.isAlive()) {
            endpoint.tick();
            scheduleTick(endpoint);
          }
        });
  }

  private void scheduleGossip(final ReplayNode node) {
    queue.schedule(
        1 + random.nextLong(GossipPacer.roundIntervalMs(options.endpoints())), () -> gossip(node));
  }

  private void gossip(final ReplayNode node) {
    if (!node.isAlive()) {
      return;
    }
    queue.schedule(GossipPacer.roundIntervalMs(options.endpoints()), () -> gossip(node));
    node.gossipTo(randomNode(node));
  }

  private ReplayNode randomNode(final ReplayNode except) {
    final List<ReplayNode> nodes = new ArrayList<>(routers);
    endpoints.values().stream().filter(ReplayNode::isAlive).forEach(nodes::add);
    nodes.remove(except);
    return nodes.get(random.nextInt(nodes.size()));
  }

  /** Samples the loads while requests come. */
  private void sample() {
    final Map<EndpointId, Long> loads = new LinkedHashMap<>();
    final Map<EndpointId, Long> largest = new LinkedHashMap<>();
    for (final ReplayEndpoint endpoint : endpoints.values()) {
      if (endpoint.isAlive() && endpoint.isListed()) {
        loads.put(endpoint.id(), endpoint.load());
        largest.put(endpoint.id(), endpoint.largestCost());
      }
    }
    result.addSample(new LoadSample(traceTimeMs(queue.nowMs()), loads, largest));
    if (queue.nowMs() < lastRequestMs) {
      queue.schedule(SAMPLE_INTERVAL_MS, this::sample);
    }
  }

  /**
   * Tells how many tokens of a prompt could be cached if nothing was ever forgotten.
   *
   * @param chat the request
   * @return the tokens
   */
  int cacheableTokens(final TraceRecord.ChatRequested chat) {
    return Math.min(chat.promptTokens(), knownTokens.getOrDefault(chat.chatHash(), 0));
  }

  /**
   * Takes note of an answer.
   *
   * @param chat the request
   * @param endpoint where the answer came from
   */
  void answered(final TraceRecord.ChatRequested chat, final EndpointId endpoint) {
    knownTokens.put(chat.chatHash(), chat.promptTokens() + chat.outputTokens());
    lastEndpoints.put(chat.chatHash(), endpoint);
  }

  RequestId nextRequestId() {
    requestCount++;
    return new RequestId(requestCount);
  }

  /**
   * Converts a time.
   *
   * @param timeMs a time of the replay, in milliseconds
   * @return the time since the start of the trace, in milliseconds
   */
  long traceTimeMs(final long timeMs) {
    return timeMs - START_MS - WARM_UP_MS;
  }

  EventQueue queue() {
    return queue;
  }

  ReplayOptions options() {
    return options;
  }

  ReplayPolicy policy() {
    return policy;
  }

  ReplayResult result() {
    return result;
  }

  ReplayEndpoint endpoint(final EndpointId id) {
    return endpoints.get(id);
  }

  /**
   * Lists the endpoints that take work.
   *
   * @return the endpoints, as they are at this moment
   */
  List<ReplayEndpoint> liveEndpoints() {
    return endpoints.values().stream()
        .filter(endpoint -> endpoint.isAlive() && endpoint.isListed())
        .toList();
  }

  /**
   * Carries a message.
   *
   * @param arrival what happens when it arrives
   */
  void transmit(final Runnable arrival) {
    queue.schedule(options.delayMs(), arrival);
  }

  /**
   * Remembers a list of VMs.
   *
   * @param sinceMs since when it holds, in milliseconds
   * @param endpoints the endpoints on it
   */
  private record PastList(long sinceMs, List<EndpointInfo> endpoints) {}
}
