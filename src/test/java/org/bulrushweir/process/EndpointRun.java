package org.bulrushweir.process;

/** What happened to a request at all endpoints. Times are in Unix milliseconds. */
final class EndpointRun {

  private int arrivals;
  private int runs;
  private int running;
  private long lastArrivalMs;
  private long lastEndMs;

  synchronized void arrived() {
    arrivals++;
    lastArrivalMs = System.currentTimeMillis();
  }

  synchronized void started() {
    runs++;
    running++;
  }

  synchronized void ended() {
    running--;
    lastEndMs = System.currentTimeMillis();
  }

  synchronized int runs() {
    return runs;
  }

  synchronized long lastArrivalMs() {
    return lastArrivalMs;
  }

  /**
   * Returns whether an endpoint was at work.
   *
   * @param atMs when, after the start of the last run
   * @return true if no run had ended by then
   */
  synchronized boolean isRunningAt(final long atMs) {
    return runs > 0 && (running > 0 || lastEndMs >= atMs);
  }

  @Override
  public synchronized String toString() {
    return arrivals
        + " arrivals, last at "
        + lastArrivalMs
        + ", "
        + runs
        + " runs, end "
        + lastEndMs;
  }
}
