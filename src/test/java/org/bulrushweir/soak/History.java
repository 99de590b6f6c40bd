package org.bulrushweir.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** What callers have sent and endpoints have done. */
final class History {

  private final Map<String, CallerRequest> requests = new ConcurrentHashMap<>();
  private final Map<String, List<EndpointRun>> runs = new ConcurrentHashMap<>();
  private final Map<String, Answer> answers = new ConcurrentHashMap<>();
  private final AtomicInteger lastSeal = new AtomicInteger();
  private final AtomicInteger copies = new AtomicInteger();

  void sent(final CallerRequest request) {
    requests.put(request.id(), request);
  }

  /**
   * Finds a request.
   *
   * @param id its id
   * @return the request, null if no caller sent it
   */
  CallerRequest request(final String id) {
    return requests.get(id);
  }

  /**
   * Notes a run.
   *
   * @param run the run
   * @return all runs of its request
   */
  List<EndpointRun> started(final EndpointRun run) {
    return runs.compute(
        run.request().id(),
        (id, before) -> {
          final List<EndpointRun> all = new ArrayList<>(before == null ? List.of() : before);
          all.add(run);
          return all;
        });
  }

  List<EndpointRun> runs(final String requestId) {
    return runs.getOrDefault(requestId, List.of());
  }

  String nextSeal() {
    return "seal-" + lastSeal.incrementAndGet();
  }

  void answered(final Answer answer) {
    answers.put(answer.seal(), answer);
  }

  /**
   * Finds an answer.
   *
   * @param seal its mark
   * @return the answer, null if no endpoint gave it
   */
  Answer answer(final String seal) {
    return answers.get(seal);
  }

  /** Notes that an answer was repeated. */
  void repeated() {
    copies.incrementAndGet();
  }

  int copies() {
    return copies.get();
  }

  int requestCount() {
    return requests.size();
  }
}
