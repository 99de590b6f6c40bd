package org.bulrushweir.testing;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/** Records what a class logs until it is closed. */
public final class RecordedLog extends Handler implements AutoCloseable {

  private final List<String> messages = new CopyOnWriteArrayList<>();
  private final Logger logger;

  /**
   * Starts to record.
   *
   * @param source the class that logs
   */
  public RecordedLog(final Class<?> source) {
    logger = Logger.getLogger(source.getName());
    logger.addHandler(this);
  }

  /**
   * Returns what was logged.
   *
   * @return the messages in order
   */
  public List<String> messages() {
    return List.copyOf(messages);
  }

  @Override
  public void publish(final LogRecord entry) {
    messages.add(entry.getMessage());
  }

  @Override
  public void flush() {
    // Messages are kept at once.
  }

  @Override
  public void close() {
    logger.removeHandler(this);
  }
}
