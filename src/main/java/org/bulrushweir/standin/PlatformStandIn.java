package org.bulrushweir.standin;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.javalin.Javalin;
import io.javalin.config.JavalinConfig;
import io.javalin.http.Context;
import io.javalin.http.HttpStatus;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Optional;
import org.bulrushweir.api.Clock;
import org.bulrushweir.platform.StoreMessages;
import org.bulrushweir.platform.StorePaths;
import org.bulrushweir.store.SharedTable;
import org.bulrushweir.store.Vm;

/**
 * Stands in for the platform's store: it speaks the published calls for rows, changes and objects,
 * and misbehaves on demand. A list of VMs is kept in a table of its own.
 */
public final class PlatformStandIn implements AutoCloseable {

  private static final long HANG_MS = 3_600_000;

  private final ObjectMapper mapper = new ObjectMapper();
  private final PlatformState state;
  private final Javalin server;
  private final long listLagMs;
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
    this.state = new PlatformState(clock);
    this.listLagMs = listLagMs;
    this.server = StandInServer.start(host, port, this::addRoutes);
  }

  private void addRoutes(final JavalinConfig config) {
    config.routes.before(this::misbehave);
    config.routes.after(ctx -> ctx.header(StorePaths.ERA, Long.toString(state.era())));
    config.routes.get(StorePaths.READ, this::read);
    config.routes.get(StorePaths.FOLLOW, this::follow);
    config.routes.post(StorePaths.TRANSACT, this::transact);
    config.routes.put(StorePaths.PUT_OBJECT + "{key}", this::putObject);
    config.routes.get(StorePaths.GET_OBJECT + "{key}", this::object);
    config.routes.put("/control/vms", ctx -> putVm(ctx.bodyAsClass(Vm.class)));
    config.routes.delete("/control/vms/{name}", ctx -> removeVm(ctx.pathParam("name")));
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
    if (newFaults.dropHistory()) {
      state.dropHistory();
    }
  }

  /**
   * Sets a row as its owner would.
   *
   * @param table the table
   * @param key the row's key
   * @param value the row's value, null to remove it
   */
  public void put(final SharedTable table, final String key, final String value) {
    state.commitLater(List.of(row(StorePaths.nameOf(table), key, value)), 0);
  }

  /**
   * Copies everything that is stored.
   *
   * @return the copy
   */
  public PlatformCopy copy() {
    return state.copy();
  }

  /**
   * Goes back to a copy, as after a restoration of the store.
   *
   * @param copy the copy
   */
  public void restore(final PlatformCopy copy) {
    state.restore(copy);
  }

  /**
   * Returns the port.
   *
   * @return the bound port
   */
  public int port() {
    return server.port();
  }

  /**
   * Sets an entry of the list of VMs, which may be one that can't be read.
   *
   * @param name the VM's name
   * @param entry the entry
   */
  public void putVm(final String name, final String entry) {
    state.commitLater(List.of(row(StorePaths.VM_TABLE, name, entry)), listLagMs);
  }

  private void putVm(final Vm vm) throws JsonProcessingException {
    putVm(vm.name(), mapper.writeValueAsString(vm));
  }

  private void removeVm(final String name) {
    state.commitLater(List.of(row(StorePaths.VM_TABLE, name, null)), listLagMs);
  }

  private static StoredRow row(final String table, final String key, final String value) {
    final String encoded =
        value == null
            ? null
            : Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8));
    return new StoredRow(table, key, encoded, 0);
  }

  private void misbehave(final Context ctx) throws InterruptedException {
    final PlatformFaults now = faults;
    if (ctx.path().startsWith("/control/")) {
      return;
    }
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

  private void read(final Context ctx) {
    final String from = Optional.ofNullable(ctx.queryParam(StorePaths.FROM)).orElse("");
    ctx.json(
        message(
            state.range(ctx.queryParam(StorePaths.TABLE), from, ctx.queryParam(StorePaths.TO))));
  }

  private void follow(final Context ctx) throws InterruptedException {
    final Optional<List<StoredRow>> changes =
        state.changes(
            ctx.queryParam(StorePaths.TABLE),
            Long.parseLong(ctx.queryParam(StorePaths.AFTER)),
            Long.parseLong(ctx.queryParam(StorePaths.WAIT)));
    if (faults.outage()) {
      ctx.status(HttpStatus.SERVICE_UNAVAILABLE).result("outage");
      return;
    }
    if (changes.isEmpty()) {
      ctx.status(HttpStatus.GONE).result("that history is dropped");
      return;
    }
    ctx.json(message(changes.get()));
  }

  private void transact(final Context ctx) throws InterruptedException {
    final StoreMessages.TransactionMessage message =
        ctx.bodyAsClass(StoreMessages.TransactionMessage.class);
    final List<StoredRow> writes = new ArrayList<>();
    message.writes().forEach(it -> writes.add(new StoredRow(it.table(), it.key(), it.value(), 0)));
    message.removals().forEach(it -> writes.add(new StoredRow(it.table(), it.key(), null, 0)));
    final List<StoredRow> conditions =
        message.conditions().stream()
            .map(it -> new StoredRow(it.table(), it.key(), null, it.version()))
            .toList();
    if (loseAnswer()) {
      final long lateMs = faults.lateWriteMs();
      if (lateMs > 0) {
        Thread.sleep(lateMs);
      }
      state.commit(conditions, writes);
      Thread.sleep(HANG_MS);
    }
    final Optional<List<StoredRow>> conflict = state.commit(conditions, writes);
    if (conflict.isPresent()) {
      ctx.status(HttpStatus.PRECONDITION_FAILED).json(message(conflict.get()));
      return;
    }
    ctx.json(message(List.of()));
  }

  private StoreMessages.RowsMessage message(final List<StoredRow> rows) {
    return new StoreMessages.RowsMessage(
        rows.stream()
            .map(
                row ->
                    new StoreMessages.RowMessage(
                        row.table(),
                        "",
                        row.key(),
                        row.value(),
                        row.version(),
                        row.exists() ? null : true))
            .toList(),
        false,
        state.version(),
        state.nowMs());
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

  @Override
  public void close() {
    server.stop();
  }
}
