package org.bulrushweir.platform;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;

/** The JSON messages of the platform's store. */
public final class StoreMessages {

  private StoreMessages() {}

  /**
   * A row, or a condition on one.
   *
   * @param table the table
   * @param part the partition, empty for tables without partitions
   * @param key the key
   * @param value the value in base64; null in conditions and for removed rows
   * @param version the version; zero in a condition demands that the row does not exist
   * @param removed whether the row was removed
   */
  @JsonIgnoreProperties(ignoreUnknown = true)
  @JsonInclude(JsonInclude.Include.NON_NULL)
  public record RowMessage(
      @JsonProperty("table") String table,
      @JsonProperty("part") String part,
      @JsonProperty("key") String key,
      @JsonProperty("value") String value,
      @JsonProperty("ver") Long version,
      @JsonProperty("tombstone") Boolean removed) {}

  /**
   * A transaction.
   *
   * @param conditions rows with the versions that they must have
   * @param writes rows to set
   * @param removals rows to remove
   */
  @JsonIgnoreProperties(ignoreUnknown = true)
  public record TransactionMessage(
      @JsonProperty("expected") List<RowMessage> conditions,
      @JsonProperty("set_keys") List<RowMessage> writes,
      @JsonProperty("remove") List<RowMessage> removals) {}

  /**
   * The answer to a transaction or to a read.
   *
   * @param rows the rows that were read, or those in conditions that did not hold
   * @param more whether there are more rows
   * @param version the newest version of the store
   * @param storeClockMs the store's steady clock, in milliseconds
   */
  @JsonIgnoreProperties(ignoreUnknown = true)
  @JsonInclude(JsonInclude.Include.NON_NULL)
  public record RowsMessage(
      @JsonProperty("rows") List<RowMessage> rows,
      @JsonProperty("has_more") Boolean more,
      @JsonProperty("ver") long version,
      @JsonProperty("now_ms") long storeClockMs) {}
}
