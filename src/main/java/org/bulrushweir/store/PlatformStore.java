package org.bulrushweir.store;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Reads and writes what the platform keeps. All futures fail with a {@link PlatformException} if
 * the platform does not answer in time.
 */
public interface PlatformStore {

  /**
   * Reads a row.
   *
   * @param key the row's key
   * @return the row, absent or not
   */
  CompletableFuture<Row> read(String key);

  /**
   * Reads all rows whose keys start alike.
   *
   * @param prefix the start of the keys
   * @return the rows, sorted by key
   */
  CompletableFuture<List<Row>> scan(String prefix);

  /**
   * Commits a transaction.
   *
   * @param transaction the transaction
   * @return whether it took effect
   */
  CompletableFuture<CommitResult> commit(Transaction transaction);

  /**
   * Stores an object.
   *
   * @param key the object's key
   * @param content the object's content
   * @return completes when the object is stored
   */
  CompletableFuture<Void> putObject(String key, String content);

  /**
   * Reads an object.
   *
   * @param key the object's key
   * @return the content, empty if there is no such object
   */
  CompletableFuture<Optional<String>> object(String key);

  /**
   * Lists the VMs; the list lags behind.
   *
   * @return the VMs
   */
  CompletableFuture<List<Vm>> vms();
}
