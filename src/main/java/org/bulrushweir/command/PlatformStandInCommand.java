package org.bulrushweir.command;

import java.util.concurrent.CountDownLatch;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.bulrushweir.kernel.SystemClock;
import org.bulrushweir.standin.PlatformStandIn;

/** Runs a stand-in for the platform. */
final class PlatformStandInCommand implements Command {

  private static final String LIST_LAG = "list-lag-ms";
  private static final int DEFAULT_LIST_LAG_MS = 1_000;

  @Override
  public String name() {
    return "standin platform";
  }

  @Override
  public String summary() {
    return "run a stand-in for the platform (tables, objects, list of VMs)";
  }

  @Override
  public void declareOptions(final OptionParser parser) {
    StandInOptions.declareAddress(parser);
    parser
        .accepts(LIST_LAG, "by how many milliseconds the list of VMs lags")
        .withRequiredArg()
        .ofType(Integer.class)
        .defaultsTo(DEFAULT_LIST_LAG_MS);
  }

  @Override
  public ExitCode run(final OptionSet options, final Console console) throws InterruptedException {
    final PlatformStandIn platform =
        new PlatformStandIn(
            StandInOptions.host(options),
            StandInOptions.port(options),
            new SystemClock(),
            (Integer) options.valueOf(LIST_LAG));
    console.out().println("ready platform port=" + platform.port());
    new CountDownLatch(1).await();
    return ExitCode.OK;
  }
}
