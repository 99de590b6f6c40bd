package org.bulrushweir.soak;

/** A run of a request at an endpoint. */
final class EndpointRun {

  private final String name;
  private final String endpoint;
  private final CallerRequest request;
  private final long startedAtMs;
  private volatile boolean answered;

  /**
   * Creates a run.
   *
   * @param name its name, which is the seal of its answer
   * @param endpoint the name of the endpoint
   * @param request the request
   * @param startedAtMs when it began
   */
  EndpointRun(
      final String name,
      final String endpoint,
      final CallerRequest request,
      final long startedAtMs) {
    this.name = name;
    this.endpoint = endpoint;
    this.request = request;
    this.startedAtMs = startedAtMs;
  }

  String name() {
    return name;
  }

  String endpoint() {
    return endpoint;
  }

  CallerRequest request() {
    return request;
  }

  long startedAtMs() {
    return startedAtMs;
  }

  /** Notes that the whole answer was written to a connection without any fault. */
  void answerWritten() {
    answered = true;
  }

  boolean isAnswered() {
    return answered;
  }

  @Override
  public String toString() {
    return name + " at " + endpoint + " from " + startedAtMs + " ms";
  }
}
