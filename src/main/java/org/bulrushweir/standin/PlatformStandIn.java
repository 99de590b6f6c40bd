package org.bulrushweir.standin;

import io.javalin.Javalin;
import io.javalin.config.JavalinConfig;
import io.javalin.http.Context;
import io.javalin.http.HttpStatus;
import org.bulrushweir.api.Clock;
import org.bulrushweir.platform.CommitResult;
import org.bulrushweir.platform.Condition;
import org.bulrushweir.platform.PlatformProtocol;
import org.bulrushweir.platform.Row;
import org.bulrushweir.platform.Transaction;
import org.bulrushweir.platform.Vm;
import org.bulrushweir.platform.Write;

/** Stands in for the platform: tables, objects and the list of VMs, with faults on demand. */
public final class PlatformStandIn implements AutoCloseable {

  private static final long HANG_MS = 3_600_000;

  private final PlatformState state;
  private final Javalin server;
  private volatile PlatformFaults faults = PlatformFaults.NONE;
  private int answersToLose;

  /**
   * Starts the stand-in.
   *
   * @param host the IP number to bind
   * @param port the port, zero for any
   * @param clock the clock
   * @param listLagMs by how many milliseconds the list of VMs lags
   */
  public PlatformStandIn(
      final String host, final int port, final Clock clock, final long listLagMs) {
    this.state = new PlatformState(clock, listLagMs);
    this.server = StandInServer.start(host, port, this::addRoutes);
  }

  private void addRoutes(final JavalinConfig config) {
    config.routes.before("/v1/*", this::misbehave);
    config.routes.get("/v1/table", this::scan);
    config.routes.get("/v1/table/<key>", this::read);
    config.routes.post("/v1/table/transact", this::commit);
    config.routes.put("/v1/objects/<key>", this::putObject);
    config.routes.get("/v1/objects/<key>", this::object);
    config.routes.get("/v1/vms", this::vms);
    config.routes.put("/control/vms", ctx -> state.putVm(ctx.bodyAsClass(Vm.class)));
    config.routes.delete("/control/vms/{name}", ctx -> state.removeVm(ctx.pathParam("name")));
    config.routes.put("/control/faults", ctx -> misbehaveAs(ctx.bodyAsClass(PlatformFaults.class)));
  }

  /**
   * Changes how the stand-in misbehaves.
   *
   * @param newFaults the faults from now on
   */
  public synchronized void misbehaveAs(final PlatformFaults newFaults) {
    faults = newFaults;
    answersToLose = newFaults.loseAnswers();
  }

  /**
   * Returns the kept state.
   *
   * @return the state
   */
  public PlatformState state() {
    return state;
  }

  /**
   * Returns the port.
   *
   * @return the bound port
   */
  public int port() {
    return server.port();
  }

  private void misbehave(final Context ctx) throws InterruptedException {
    final PlatformFaults now = faults;
    if (now.outage()) {
      ctx.status(HttpStatus.SERVICE_UNAVAILABLE).result("outage").skipRemainingHandlers();
      return;
    }
    if (now.hang()) {
      Thread.sleep(HANG_MS);
    }
    if (now.delayMs() > 0) {
      Thread.sleep(now.delayMs());
    }
  }

  private synchronized boolean loseAnswer() {
    if (answersToLose == 0) {
      return false;
    }
    answersToLose--;
    return true;
  }

  private void scan(final Context ctx) {
    final String prefix = ctx.queryParam("prefix");
    ctx.json(
        new PlatformProtocol.RowsMessage(
            state.scan(prefix == null ? "" : prefix).stream()
                .map(PlatformStandIn::toMessage)
                .toList()));
  }

  private void read(final Context ctx) {
    final Row row = state.read(ctx.pathParam("key"));
    if (!row.exists()) {
      ctx.status(HttpStatus.NOT_FOUND);
      return;
    }
    ctx.json(toMessage(row));
  }

  private void commit(final Context ctx) throws InterruptedException {
    final CommitResult result =
        state.commit(toTransaction(ctx.bodyAsClass(PlatformProtocol.TransactionMessage.class)));
    if (loseAnswer()) {
      Thread.sleep(HANG_MS);
    }
    switch (result) {
      case CommitResult.Committed committed ->
          ctx.json(new PlatformProtocol.CommitMessage(true, committed.version(), null));
      case CommitResult.Conflict conflict ->
          ctx.status(HttpStatus.CONFLICT)
              .json(new PlatformProtocol.CommitMessage(false, 0, toMessage(conflict.current())));
    }
  }

  private void putObject(final Context ctx) throws InterruptedException {
    state.putObject(ctx.pathParam("key"), ctx.body());
    if (loseAnswer()) {
      Thread.sleep(HANG_MS);
    }
    ctx.result("stored");
  }

  private void object(final Context ctx) {
    state
        .object(ctx.pathParam("key"))
        .ifPresentOrElse(ctx::result, () -> ctx.status(HttpStatus.NOT_FOUND));
  }

  private void vms(final Context ctx) {
    ctx.json(new PlatformProtocol.VmsMessage(state.laggingVms()));
  }

  private static PlatformProtocol.RowMessage toMessage(final Row row) {
    return new PlatformProtocol.RowMessage(row.key(), row.version(), row.value());
  }

  private static Transaction toTransaction(final PlatformProtocol.TransactionMessage message) {
    return new Transaction(
        message.conditions().stream().map(it -> new Condition(it.key(), it.version())).toList(),
        message.writes().stream().map(it -> new Write(it.key(), it.value())).toList());
  }

  @Override
  public void close() {
    server.stop();
  }
}
