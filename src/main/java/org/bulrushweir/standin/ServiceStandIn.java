package org.bulrushweir.standin;

import io.javalin.Javalin;
import io.javalin.config.JavalinConfig;
import io.javalin.http.Context;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.bulrushweir.api.Clock;

/** Stands in for a plain service; counts how often each operation ran for each reference. */
public final class ServiceStandIn implements AutoCloseable {

  private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
  private final AtomicInteger bookings = new AtomicInteger();
  private final Clock clock;
  private final Javalin server;
  private volatile long delayMs;

  /**
   * Starts the stand-in.
   *
   * @param host the IP number to bind
   * @param port the port, zero for any
   * @param clock the clock
   * @param delayMs how long each operation takes, in milliseconds
   */
  public ServiceStandIn(final String host, final int port, final Clock clock, final long delayMs) {
    this.clock = clock;
    this.delayMs = delayMs;
    this.server = StandInServer.start(host, port, this::addRoutes);
  }

  private void addRoutes(final JavalinConfig config) {
    config.routes.get("/control/runs", ctx -> ctx.json(runs()));
    config.routes.put("/control/delay", ctx -> delayMs = Long.parseLong(ctx.body()));
    config.routes.get("/health", ctx -> ctx.result("ok"));
    config.routes.get("/stock/{item}", this::stock);
    config.routes.post("/bookings", this::book);
  }

  /**
   * Returns how often each booking reference ran.
   *
   * @return counts by reference
   */
  public Map<String, Integer> runs() {
    final Map<String, Integer> counts = new TreeMap<>();
    runs.forEach((reference, count) -> counts.put(reference, count.get()));
    return counts;
  }

  /**
   * Returns the port.
   *
   * @return the bound port
   */
  public int port() {
    return server.port();
  }

  private void stock(final Context ctx) throws InterruptedException {
    Thread.sleep(delayMs);
    count("stock:" + ctx.pathParam("item"));
    ctx.json(new StockMessage(ctx.pathParam("item"), ctx.pathParam("item").length()));
  }

  private void book(final Context ctx) throws InterruptedException {
    final String reference = ctx.bodyAsClass(BookingMessage.class).reference();
    count(reference);
    Thread.sleep(delayMs);
    ctx.status(io.javalin.http.HttpStatus.CREATED)
        .json(new BookedMessage(reference, bookings.incrementAndGet(), clock.nowMs()));
  }

  private void count(final String reference) {
    runs.computeIfAbsent(reference, key -> new AtomicInteger()).incrementAndGet();
  }

  @Override
  public void close() {
    server.stop();
  }

  /**
   * The answer to a stock lookup.
   *
   * @param item the item
   * @param pallets how many are there
   */
  public record StockMessage(String item, int pallets) {}

  /**
   * A booking as callers send it.
   *
   * @param reference the caller's own reference
   */
  @com.fasterxml.jackson.annotation.JsonIgnoreProperties(ignoreUnknown = true)
  public record BookingMessage(
      @com.fasterxml.jackson.annotation.JsonProperty("reference") String reference) {}

  /**
   * The answer to a booking.
   *
   * @param reference the caller's own reference
   * @param booking the number of the booking
   * @param timeMs when it was made, in milliseconds since the Unix epoch
   */
  public record BookedMessage(String reference, int booking, long timeMs) {}
}
