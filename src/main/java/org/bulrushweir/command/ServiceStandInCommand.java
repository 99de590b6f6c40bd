package org.bulrushweir.command;

import java.util.concurrent.CountDownLatch;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.bulrushweir.kernel.SystemClock;
import org.bulrushweir.standin.ServiceStandIn;

/** Runs a stand-in for a plain service. */
final class ServiceStandInCommand implements Command {

  private static final String DELAY = "delay-ms";

  @Override
  public String name() {
    return "standin service";
  }

  @Override
  public String summary() {
    return "run a stand-in for a plain service that counts its runs";
  }

  @Override
  public void declareOptions(final OptionParser parser) {
    StandInOptions.declareAddress(parser);
    parser
        .accepts(DELAY, "how long an operation takes, in milliseconds")
        .withRequiredArg()
        .ofType(Integer.class)
        .defaultsTo(0);
  }

  @Override
  public ExitCode run(final OptionSet options, final Console console) throws InterruptedException {
    final ServiceStandIn service =
        new ServiceStandIn(
            StandInOptions.host(options),
            StandInOptions.port(options),
            new SystemClock(),
            (Integer) options.valueOf(DELAY));
    console.out().println("ready service port=" + service.port());
    new CountDownLatch(1).await();
    return ExitCode.OK;
  }
}
