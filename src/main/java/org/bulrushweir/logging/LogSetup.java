package org.bulrushweir.logging;

import java.util.logging.ConsoleHandler;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.Logger;
import org.bulrushweir.api.NodeId;
import org.bulrushweir.settings.LogFormat;
import org.bulrushweir.settings.LogLevel;

/** Sets up the logging of a process. */
public final class LogSetup {

  private static final Logger PROJECT = Logger.getLogger("org.bulrushweir");

  private LogSetup() {}

  /**
   * Sends all records to standard error.
   *
   * @param format how records are written
   * @param level the least severity that is written
   * @param node the process's id
   */
  public static void install(final LogFormat format, final LogLevel level, final NodeId node) {
    install(format, level, node, new ConsoleHandler());
  }

  /**
   * Sends all records to a writer that never blocks.
   *
   * @param format how records are written
   * @param level the least severity that is written
   * @param node the process's id
   * @param writer writes the records
   */
  public static void install(
      final LogFormat format,
      final LogLevel level,
      final NodeId node,
      final AsyncLogWriter writer) {
    install(format, level, node, new AsyncLogHandler(writer));
  }

  private static void install(
      final LogFormat format, final LogLevel level, final NodeId node, final Handler handler) {
    LogManager.getLogManager().reset();
    final Logger root = Logger.getLogger("");
    root.setLevel(Level.WARNING);
    PROJECT.setLevel(toLevel(level));
    final Formatter formatter =
        switch (format) {
          case TEXT -> new TextFormatter(node);
          case JSON -> new JsonFormatter(node);
        };
    handler.setLevel(Level.ALL);
    handler.setFormatter(formatter);
    root.addHandler(handler);
  }

  private static Level toLevel(final LogLevel level) {
    return switch (level) {
      case DEBUG -> Level.FINE;
      case INFO -> Level.INFO;
      case WARNING -> Level.WARNING;
    };
  }
}
