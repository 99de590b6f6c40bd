package org.bulrushweir.command;

import java.util.List;

/** Starts the binary. */
public final class Main {

  private Main() {}

  /**
   * Runs a command line and exits.
   *
   * @param arguments the command and its options
   */
  public static void main(final String[] arguments) {
    final Console console = new Console(System.out, System.err);
    final CommandLine line =
        new CommandLine(
            List.of(
                ProcessCommand.router(),
                ProcessCommand.sidecar(),
                new GatewayCommand(),
                new DemoCommand(),
                new CheckCommand(),
                new SubmitCommand(),
                new ShowCommand(),
                new StatusCommand(),
                new ExplainCommand(),
                new DrainCommand(),
                new TimelineCommand(),
                new PlatformStandInCommand(),
                new EngineStandInCommand(),
                new ServiceStandInCommand()),
            console);
    System.exit(line.run(List.of(arguments)).number());
  }
}
