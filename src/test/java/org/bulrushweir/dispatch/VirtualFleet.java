package org.bulrushweir.dispatch;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.bulrushweir.api.NodeId;
import org.bulrushweir.api.OrganisationId;
import org.bulrushweir.balancing.ServiceRoom;

/**
 * Gateways in front of the slots of one service, in virtual time. Reports between gateways are up
 * to 400 ms old. The rule of today, sending at once, is available for comparison.
 */
final class VirtualFleet {

  /** Endpoints queue this multiple of their slots, and refuse what is beyond. */
  private static final int ENDPOINT_QUEUE = 4;

  private static final int REPORT_MS = 200;
  private static final int TICK_MS = 20;
  private static final int REJECT_MS = 100;
  private static final long MAX_DELAY_MS = 200;

  private final List<Gateway> gateways = new ArrayList<>();
  private final List<Call> calls = new ArrayList<>();
  private final Deque<Call> endpointQueue = new ArrayDeque<>();
  private final List<Call> running = new ArrayList<>();
  private final List<Delivery> deliveries = new ArrayList<>();
  private final Random random;
  private final boolean queueing;
  private int slots;
  private long nowMs = 1_000_000;

  /** Creates gateways and idle slots; without queueing everything is sent at once. */
  VirtualFleet(final int gatewayCount, final int slots, final boolean queueing, final long seed) {
    this.slots = slots;
    this.queueing = queueing;
    this.random = new Random(seed);
    for (int number = 0; number < gatewayCount; number++) {
      gateways.add(new Gateway(number));
    }
  }

  void setSlots(final int newSlots) {
    slots = newSlots;
  }

  int idleSlots() {
    return Math.max(0, slots - running.size());
  }

  int waiting() {
    return gateways.stream().mapToInt(gateway -> gateway.dispatcher.waiting()).sum();
  }

  List<Call> calls() {
    return calls;
  }

  Call arrive(
      final String organisation,
      final int rank,
      final long targetMs,
      final long limitMs,
      final long workMs) {
    return arrive(random.nextInt(gateways.size()), organisation, rank, targetMs, limitMs, workMs);
  }

  /** Lets a request arrive at a gateway. */
  Call arrive(
      final int gateway,
      final String organisation,
      final int rank,
      final long targetMs,
      final long limitMs,
      final long workMs) {
    final DispatchRequest request =
        new DispatchRequest(
            calls.size(),
            rank,
            Optional.of(new OrganisationId(organisation)),
            nowMs,
            nowMs,
            targetMs,
            nowMs + limitMs,
            workMs);
    final Call call = new Call(request, gateways.get(gateway), workMs);
    calls.add(call);
    if (!queueing) {
      send(call);
      return call;
    }
    final Gateway at = call.gateway;
    final DispatchDecision decision = at.dispatcher.offer(request, at.load(), nowMs);
    if (decision instanceof DispatchDecision.SendNow) {
      send(call);
    } else if (decision instanceof DispatchDecision.Wait wait) {
      call.estimatedMs = wait.estimatedMs();
    } else if (decision instanceof DispatchDecision.Reject reject) {
      call.reject(reject.reason().name());
    }
    at.dispatcher.takeDisplaced().ifPresent(this::reject);
    return call;
  }

  private void reject(final ServiceDispatcher.Rejection rejection) {
    calls
        .get((int) rejection.waiting().request().number())
        .reject(rejection.decision().reason().name());
  }

  private void send(final Call call) {
    call.sentMs = nowMs;
    call.gateway.inFlight++;
    if (endpointQueue.size() >= ENDPOINT_QUEUE * slots) {
      call.gateway.inFlight--;
      call.reject("REFUSED");
      return;
    }
    endpointQueue.add(call);
  }

  /** Lets a millisecond pass. */
  void advance() {
    nowMs++;
    for (final Call call : List.copyOf(running)) {
      if (nowMs >= call.startedMs + call.workMs) {
        running.remove(call);
        call.endedMs = nowMs;
        call.gateway.inFlight--;
        call.gateway.dispatcher.recordCompletion(call.request, true, nowMs - call.sentMs, nowMs);
        call.gateway.sendNext();
      }
    }
    while (running.size() < slots && !endpointQueue.isEmpty()) {
      final Call call = endpointQueue.removeFirst();
      call.startedMs = nowMs;
      running.add(call);
    }
    gateways.forEach(Gateway::act);
    for (final Delivery delivery : List.copyOf(deliveries)) {
      if (nowMs >= delivery.atMs) {
        deliveries.remove(delivery);
        delivery.deliver();
      }
    }
  }

  /** A call and what became of it. */
  final class Call {
    private final DispatchRequest request;
    private final Gateway gateway;
    private final long workMs;
    private long estimatedMs;
    private long sentMs;
    private long startedMs;
    private long endedMs;
    private long rejectedMs;
    private String reason = "";

    /** Creates a call without outcome. */
    Call(final DispatchRequest request, final Gateway gateway, final long workMs) {
      this.request = request;
      this.gateway = gateway;
      this.workMs = workMs;
    }

    private void reject(final String newReason) {
      rejectedMs = nowMs;
      reason = newReason;
    }

    DispatchRequest request() {
      return request;
    }

    String organisation() {
      return request.organisation().orElseThrow().value();
    }

    boolean isAnswered() {
      return endedMs > 0;
    }

    boolean isInTime() {
      return isAnswered() && endedMs - request.arrivedMs() <= request.targetMs();
    }

    boolean isRejected() {
      return rejectedMs > 0;
    }

    long rejectedAfterMs() {
      return rejectedMs - request.arrivedMs();
    }

    long estimatedMs() {
      return estimatedMs;
    }

    long sentAfterMs() {
      return sentMs - request.arrivedMs();
    }

    long sentMs() {
      return sentMs;
    }

    long rejectedMs() {
      return rejectedMs;
    }

    long workMs() {
      return workMs;
    }

    String reason() {
      return reason;
    }
  }

  /** One gateway. */
  private final class Gateway {
    private final ServiceDispatcher dispatcher =
        new ServiceDispatcher(
            new DispatchPolicy(new DispatchSettings(true, 1.5), () -> random.nextDouble()));
    private final Map<Integer, Integer> peersInFlight = new HashMap<>();
    private final int number;
    private int inFlight;

    Gateway(final int number) {
      this.number = number;
    }

    ServiceLoad load() {
      final int peers = peersInFlight.values().stream().mapToInt(Integer::intValue).sum();
      return new ServiceLoad(
          new ServiceRoom(1, slots, inFlight + peers), inFlight, dispatcher.gateways(nowMs), 0);
    }

    void act() {
      if (nowMs % TICK_MS == number % TICK_MS) {
        sendNext();
      }
      if (nowMs % REJECT_MS == number % REJECT_MS) {
        dispatcher.rejectLate(load(), nowMs).forEach(VirtualFleet.this::reject);
      }
      if (nowMs % REPORT_MS == number * 37L % REPORT_MS) {
        final Optional<PeerDemand> demand = dispatcher.demand(nowMs);
        for (final Gateway peer : gateways) {
          if (peer != this) {
            final long atMs = nowMs + random.nextLong(MAX_DELAY_MS);
            deliveries.add(new Delivery(atMs, this, peer, inFlight, demand));
          }
        }
      }
    }

    void sendNext() {
      Optional<WaitingRequest> next = dispatcher.next(load(), nowMs);
      while (next.isPresent()) {
        send(calls.get((int) next.get().request().number()));
        next = dispatcher.next(load(), nowMs);
      }
    }
  }

  /** A report on its way. */
  private final class Delivery {
    private final long atMs;
    private final Gateway from;
    private final Gateway to;
    private final int inFlight;
    private final Optional<PeerDemand> demand;

    Delivery(
        final long atMs,
        final Gateway from,
        final Gateway to,
        final int inFlight,
        final Optional<PeerDemand> demand) {
      this.atMs = atMs;
      this.from = from;
      this.to = to;
      this.inFlight = inFlight;
      this.demand = demand;
    }

    void deliver() {
      to.peersInFlight.put(from.number, inFlight);
      demand.ifPresent(
          known -> to.dispatcher.recordPeer(new NodeId("gateway-" + from.number), known, nowMs));
    }
  }
}
