package org.bulrushweir.command;

import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.SplittableRandom;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.bulrushweir.api.NodeId;
import org.bulrushweir.demo.Demo;
import org.bulrushweir.logging.AsyncLogWriter;
import org.bulrushweir.logging.LogSetup;
import org.bulrushweir.settings.LogFormat;
import org.bulrushweir.settings.LogLevel;

/** Plays a small fleet in this process. */
final class DemoCommand implements Command {

  private static final String REQUESTS = "requests";
  private static final String SEED = "seed";
  private static final String LOG = "log";
  private static final int DEFAULT_REQUESTS = 600;
  private static final long DEFAULT_SEED = 1;

  @Override
  public String name() {
    return "demo";
  }

  @Override
  public String summary() {
    return "play a small fleet of gateways on stand-ins, with faults, and report";
  }

  @Override
  public void declareOptions(final OptionParser parser) {
    parser
        .accepts(REQUESTS, "how many requests are sent")
        .withRequiredArg()
        .ofType(Integer.class)
        .defaultsTo(DEFAULT_REQUESTS);
    parser
        .accepts(SEED, "draws the requests")
        .withRequiredArg()
        .ofType(Long.class)
        .defaultsTo(DEFAULT_SEED);
    parser.accepts(LOG, "the file for the gateways' logs").withRequiredArg();
  }

  @Override
  public ExitCode run(final OptionSet options, final Console console) throws IOException {
    final Demo demo = new Demo(console.out(), new SplittableRandom((Long) options.valueOf(SEED)));
    try (PrintStream log = new PrintStream(log(options));
        AsyncLogWriter writer = new AsyncLogWriter(log, AsyncLogWriter.DEFAULT_CAPACITY)) {
      LogSetup.install(LogFormat.JSON, LogLevel.INFO, new NodeId("demo"), writer);
      return demo.run((Integer) options.valueOf(REQUESTS), log) ? ExitCode.OK : ExitCode.FAILED;
    }
  }

  private static OutputStream log(final OptionSet options) throws IOException {
    return options.has(LOG)
        ? Files.newOutputStream(Path.of((String) options.valueOf(LOG)))
        : OutputStream.nullOutputStream();
  }
}
