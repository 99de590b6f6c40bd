package org.bulrushweir.platform;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;

/** The JSON messages of the platform's store. */
public final class StoreMessages {

  private static final String ROWS = "rows";
  private static final String VERSION = "ver";

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
      @JsonProperty(VERSION) Long version,
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
      @JsonProperty(ROWS) List<RowMessage> rows,
      @JsonProperty("has_more") Boolean more,
      @JsonProperty(VERSION) long version,
      @JsonProperty("now_ms") long storeClockMs) {}

  /**
   * Reads the answer to a transaction or to a read. Mapping it by its annotations would take a
   * starting process longer than all of its calls.
   *
   * @param tree the answer
   * @return the message; what is missing is empty or zero
   */
  static RowsMessage rows(final JsonNode tree) {
    final List<RowMessage> rows = new ArrayList<>();
    for (final JsonNode row : tree.path(ROWS)) {
      rows.add(
          new RowMessage(
              text(row, "table"),
              text(row, "part"),
              text(row, "key"),
              text(row, "value"),
              row.hasNonNull(VERSION) ? row.path(VERSION).asLong() : null,
              row.path("tombstone").asBoolean()));
    }
    return new RowsMessage(
        rows,
        tree.path("has_more").asBoolean(),
        tree.path(VERSION).asLong(),
        tree.path("now_ms").asLong());
  }

  private static String text(final JsonNode row, final String field) {
    return row.path(field).textValue();
  }

  /**
   * Writes a transaction.
   *
   * @param message the transaction
   * @return its JSON
   */
  static JsonNode tree(final TransactionMessage message) {
    final ObjectNode tree = JsonNodeFactory.instance.objectNode();
    add(tree.putArray("expected"), message.conditions());
    add(tree.putArray("set_keys"), message.writes());
    add(tree.putArray("remove"), message.removals());
    return tree;
  }

  private static void add(final ArrayNode array, final List<RowMessage> rows) {
    for (final RowMessage row : rows) {
      final ObjectNode node = array.addObject();
      node.put("table", row.table());
      node.put("part", row.part());
      node.put("key", row.key());
      if (row.value() != null) {
        node.put("value", row.value());
      }
      if (row.version() != null) {
        node.put(VERSION, row.version());
      }
    }
  }
}
