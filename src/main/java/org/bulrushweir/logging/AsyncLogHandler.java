package org.bulrushweir.logging;

import java.util.logging.Handler;
import java.util.logging.LogRecord;

/** Passes log records to a writer that never blocks. */
final class AsyncLogHandler extends Handler {

  private final AsyncLogWriter writer;

  /**
   * Creates the handler.
   *
   * @param writer where records go
   */
  AsyncLogHandler(final AsyncLogWriter writer) {
    this.writer = writer;
  }

  @Override
  public void publish(final LogRecord logRecord) {
    if (isLoggable(logRecord)) {
      writer.offer(() -> getFormatter().format(logRecord).stripTrailing());
    }
  }

  @Override
  public void flush() {
    // The writer flushes after each batch.
  }

  @Override
  public void close() {
    // The writer is closed by its owner.
  }
}
