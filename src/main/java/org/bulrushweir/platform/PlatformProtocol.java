package org.bulrushweir.platform;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;

/** The JSON messages of the platform's HTTP interface. */
public final class PlatformProtocol {

  private PlatformProtocol() {}

  /**
   * A row on the wire.
   *
   * @param key the key
   * @param version the version, zero if absent
   * @param value the value
   */
  public record RowMessage(
      @JsonProperty("key") String key,
      @JsonProperty("version") long version,
      @JsonProperty("value") String value) {}

  /**
   * A condition on the wire.
   *
   * @param key the key
   * @param version the version that the row must have
   */
  public record ConditionMessage(
      @JsonProperty("key") String key, @JsonProperty("version") long version) {}

  /**
   * A write on the wire.
   *
   * @param key the key
   * @param value the new value, null to delete
   */
  public record WriteMessage(
      @JsonProperty("key") String key, @JsonProperty("value") String value) {}

  /**
   * A transaction on the wire.
   *
   * @param conditions what must hold
   * @param writes what to write
   */
  public record TransactionMessage(
      @JsonProperty("conditions") List<ConditionMessage> conditions,
      @JsonProperty("writes") List<WriteMessage> writes) {}

  /**
   * The reply to a transaction.
   *
   * @param committed whether it took effect
   * @param version the new version, if it took effect
   * @param conflict the row that differs, if it took none
   */
  public record CommitMessage(
      @JsonProperty("committed") boolean committed,
      @JsonProperty("version") long version,
      @JsonProperty("conflict") RowMessage conflict) {}

  /**
   * The reply to a scan.
   *
   * @param rows the rows
   */
  public record RowsMessage(@JsonProperty("rows") List<RowMessage> rows) {}

  /**
   * The list of VMs.
   *
   * @param vms the VMs
   */
  public record VmsMessage(@JsonProperty("vms") List<Vm> vms) {}
}
