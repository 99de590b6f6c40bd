package org.bulrushweir.sidecar;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.concurrent.CompletionException;
import org.bulrushweir.runonce.ClaimEvent;
import org.bulrushweir.runonce.ClaimRow;
import org.bulrushweir.store.CommitResult;
import org.bulrushweir.store.PlatformException;
import org.bulrushweir.store.PlatformStore;
import org.bulrushweir.store.Row;
import org.bulrushweir.store.Transaction;

/**
 * Reads and writes the row of one claim in the platform's store, and converts the results to events
 * of the claim's state machine.
 */
final class ClaimStore {

  private final ObjectMapper mapper = new ObjectMapper();
  private final PlatformStore store;
  private final String key;

  /**
   * Creates the store of one claim.
   *
   * @param store the platform's store
   * @param key the key of the claim's row
   */
  ClaimStore(final PlatformStore store, final String key) {
    this.store = store;
    this.key = key;
  }

  /**
   * Reads the row. Blocks.
   *
   * @return {@code Found} with the row or its absence, or {@code StoreFailed}
   */
  ClaimEvent read() {
    try {
      return found(store.read(key).join());
    } catch (CompletionException e) {
      return failed(e);
    }
  }

  /**
   * Writes the row by compare-and-set. Blocks.
   *
   * @param row the new row
   * @param version the version that the row must have now, zero if it must be absent
   * @return {@code Written}, {@code Found} with the row that was there instead, or {@code
   *     StoreFailed}
   */
  ClaimEvent write(final ClaimRow row, final long version) {
    try {
      final String json = mapper.writeValueAsString(row);
      final CommitResult result =
          store.commit(Transaction.replace(new Row(key, version, "", 0), json)).join();
      return switch (result) {
        case CommitResult.Committed committed -> new ClaimEvent.Written(committed.version());
        case CommitResult.Conflict conflict -> found(conflict.current());
      };
    } catch (CompletionException e) {
      return failed(e);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("a claim can't be written", e);
    }
  }

  private ClaimEvent found(final Row row) {
    if (!row.exists()) {
      return new ClaimEvent.Found(null, 0);
    }
    try {
      return new ClaimEvent.Found(mapper.readValue(row.value(), ClaimRow.class), row.version());
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("the claim " + key + " is malformed", e);
    }
  }

  private static ClaimEvent failed(final CompletionException failure) {
    if (failure.getCause() instanceof PlatformException platformFailure) {
      return new ClaimEvent.StoreFailed(platformFailure.effectPossible());
    }
    throw failure;
  }
}
