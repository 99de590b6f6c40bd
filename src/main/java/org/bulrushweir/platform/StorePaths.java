package org.bulrushweir.platform;

import org.bulrushweir.store.SharedTable;

/** The paths, tables, parameters and headers of the platform's store. */
public final class StorePaths {

  /** Applies a transaction. */
  public static final String TRANSACT = "/rows-tx";

  /** Reads rows. */
  public static final String READ = "/rows-get";

  /** Waits for changed rows. */
  public static final String FOLLOW = "/rows-feed";

  /** The start of the paths that store objects. */
  public static final String PUT_OBJECT = "/blob-put/";

  /** The start of the paths that read objects. */
  public static final String GET_OBJECT = "/blob-get/";

  /** The query parameter that names a table. */
  public static final String TABLE = "table";

  /** The query parameter that names a partition. */
  public static final String PARTITION = "part";

  /** The query parameter with the first key of a range. */
  public static final String FROM = "from";

  /** The query parameter with the key after a range. */
  public static final String TO = "to";

  /** The query parameter with the version after which changes are wanted. */
  public static final String AFTER = "after";

  /** The query parameter that says how long to wait, in milliseconds. */
  public static final String WAIT = "wait_ms";

  /** The header of all answers that counts how often the store was restored from an older copy. */
  public static final String ERA = "Store-Era";

  /** The table of the product's own rows. */
  public static final String OWN_TABLE = "bulrushweir";

  /** The table that lists the VMs of the product's own deployments. */
  public static final String VM_TABLE = "bulrushweir-vms";

  /** The name of the partition of tables without partitions. */
  static final String NO_PARTITION = "";

  private StorePaths() {}

  /**
   * Returns the platform's name of a shared table.
   *
   * @param table the table
   * @return its name
   */
  public static String nameOf(final SharedTable table) {
    return switch (table) {
      case CONFIGURATION -> "op";
      case ENDPOINTS -> "servers";
      case ROUTERS -> "bulrushweir-routers";
    };
  }
}
