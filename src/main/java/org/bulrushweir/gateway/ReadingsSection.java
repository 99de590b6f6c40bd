package org.bulrushweir.gateway;

import java.util.EnumMap;
import java.util.Map;
import org.bulrushweir.api.NodeId;
import org.bulrushweir.store.PeerReading;
import org.bulrushweir.store.SharedTable;
import org.bulrushweir.wire.generated.RouterReport;
import org.bulrushweir.wire.generated.TableReading;

/** Tells peers how far this gateway has read the store's tables, and applies what they tell. */
final class ReadingsSection implements ReportSection {

  /** The numbers of the followed tables in reports; they must never change. */
  private static final Map<Integer, SharedTable> TABLES =
      Map.of(1, SharedTable.CONFIGURATION, 2, SharedTable.ENDPOINTS);

  private final Map<SharedTable, TableFollower> followers = new EnumMap<>(SharedTable.class);

  /**
   * Adds a table.
   *
   * @param table the table
   * @param follower follows it
   */
  void add(final SharedTable table, final TableFollower follower) {
    followers.put(table, follower);
  }

  @Override
  public void write(final RouterReport.Builder report, final long nowMs) {
    TABLES.forEach(
        (number, table) -> {
          if (followers.containsKey(table)) {
            followers
                .get(table)
                .reading()
                .ifPresent(reading -> report.addReadings(encode(number, reading)));
          }
        });
  }

  private static TableReading encode(final int table, final PeerReading reading) {
    return TableReading.newBuilder()
        .setTable(table)
        .setEra(reading.era())
        .setVersion(reading.version())
        .setAgeMs((int) Math.clamp(reading.ageMs(), 0, Integer.MAX_VALUE))
        .build();
  }

  @Override
  public void read(final NodeId sender, final RouterReport report, final long nowMs) {
    for (final TableReading reading : report.getReadingsList()) {
      final SharedTable table = TABLES.get(reading.getTable());
      if (table != null && followers.containsKey(table) && !report.getLeaving()) {
        followers
            .get(table)
            .hear(
                sender,
                new PeerReading(
                    reading.getEra(),
                    reading.getVersion(),
                    Integer.toUnsignedLong(reading.getAgeMs())));
      }
    }
  }
}
