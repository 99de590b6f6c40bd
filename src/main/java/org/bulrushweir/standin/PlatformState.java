package org.bulrushweir.standin;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.bulrushweir.api.Clock;
import org.bulrushweir.platform.CommitResult;
import org.bulrushweir.platform.Condition;
import org.bulrushweir.platform.Row;
import org.bulrushweir.platform.Transaction;
import org.bulrushweir.platform.Vm;
import org.bulrushweir.platform.Write;

/** Keeps the tables, objects and VMs of the platform stand-in in memory. */
public final class PlatformState {

  private final TreeMap<String, Row> rows = new TreeMap<>();
  private final Map<String, String> objects = new HashMap<>();
  private final Map<String, Vm> vms = new TreeMap<>();
  private final Deque<PastList> pastLists = new ArrayDeque<>();
  private final Clock clock;
  private final long listLagMs;
  private long lastVersion;

  /**
   * Creates an empty platform.
   *
   * @param clock the clock
   * @param listLagMs by how many milliseconds the list of VMs lags
   */
  public PlatformState(final Clock clock, final long listLagMs) {
    this.clock = clock;
    this.listLagMs = listLagMs;
  }

  /**
   * Reads a row.
   *
   * @param key the key
   * @return the row, absent or not
   */
  public synchronized Row read(final String key) {
    return rows.getOrDefault(key, Row.absent(key));
  }

  /**
   * Reads the rows with a common prefix.
   *
   * @param prefix the prefix
   * @return the rows in order
   */
  public synchronized List<Row> scan(final String prefix) {
    return List.copyOf(rows.subMap(prefix, prefix + Character.MAX_VALUE).values());
  }

  /**
   * Commits a transaction, or changes nothing.
   *
   * @param transaction the transaction
   * @return the result
   */
  public synchronized CommitResult commit(final Transaction transaction) {
    for (final Condition condition : transaction.conditions()) {
      final Row current = read(condition.key());
      if (current.version() != condition.version()) {
        return new CommitResult.Conflict(current);
      }
    }
    lastVersion++;
    transaction.writes().forEach(this::apply);
    return new CommitResult.Committed(lastVersion);
  }

  private void apply(final Write write) {
    if (write.value() == null) {
      rows.remove(write.key());
      return;
    }
    rows.put(write.key(), new Row(write.key(), lastVersion, write.value(), 0));
  }

  /**
   * Stores an object.
   *
   * @param key the key
   * @param content the content
   */
  public synchronized void putObject(final String key, final String content) {
    objects.put(key, content);
  }

  /**
   * Reads an object.
   *
   * @param key the key
   * @return the content, if the object exists
   */
  public synchronized Optional<String> object(final String key) {
    return Optional.ofNullable(objects.get(key));
  }

  /**
   * Adds or replaces a VM.
   *
   * @param vm the VM
   */
  public synchronized void putVm(final Vm vm) {
    vms.put(vm.name(), vm);
    remember();
  }

  /**
   * Takes a VM away.
   *
   * @param name the VM's name
   */
  public synchronized void removeVm(final String name) {
    vms.remove(name);
    remember();
  }

  private void remember() {
    pastLists.addLast(new PastList(clock.nowMs(), new ArrayList<>(vms.values())));
  }

  /**
   * Lists the VMs as they were some time ago.
   *
   * @return the lagging list
   */
  public synchronized List<Vm> laggingVms() {
    final long visibleMs = clock.nowMs() - listLagMs;
    List<Vm> visible = List.of();
    while (pastLists.size() > 1 && secondTimeMs() <= visibleMs) {
      pastLists.removeFirst();
    }
    if (!pastLists.isEmpty() && pastLists.getFirst().timeMs() <= visibleMs) {
      visible = pastLists.getFirst().vms();
    }
    return visible;
  }

  private long secondTimeMs() {
    final var iterator = pastLists.iterator();
    iterator.next();
    return iterator.next().timeMs();
  }

  /**
   * Remembers a list of VMs.
   *
   * @param timeMs since when it holds, in milliseconds
   * @param vms the VMs
   */
  private record PastList(long timeMs, List<Vm> vms) {}
}
