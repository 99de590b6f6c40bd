package org.bulrushweir.platform;

import java.util.List;

/**
 * Rows of the store with the era in which they were read.
 *
 * @param message the rows
 * @param era the store's era
 */
record RowsPage(StoreMessages.RowsMessage message, long era) {

  /**
   * Reads the rows in an answer.
   *
   * @param reply the answer
   * @return the rows
   * @throws org.bulrushweir.store.PlatformException if it is not a success with rows
   */
  static RowsPage of(final StoreReply reply) {
    return new RowsPage(reply.requireOk().rows(), reply.era());
  }

  List<StoreMessages.RowMessage> rows() {
    return message.rows();
  }

  long storeClockMs() {
    return message.storeClockMs();
  }
}
