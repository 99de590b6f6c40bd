package org.bulrushweir.command;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.function.Function;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.bulrushweir.kernel.Kernel;
import org.bulrushweir.logging.LogSetup;
import org.bulrushweir.node.PeerService;
import org.bulrushweir.node.ServiceNames;
import org.bulrushweir.process.DaggerRouterComponent;
import org.bulrushweir.process.DaggerSidecarComponent;
import org.bulrushweir.settings.ProcessSettings;
import org.bulrushweir.settings.ProcessSettingsLoader;

/** Runs a router or a sidecar until the process is told to stop. */
final class ProcessCommand implements Command {

  private static final String SETTINGS = "settings";

  private final String name;
  private final String summary;
  private final SettingsReader settingsReader;
  private final Function<ProcessSettings, Kernel> builder;

  private ProcessCommand(
      final String name,
      final String summary,
      final SettingsReader settingsReader,
      final Function<ProcessSettings, Kernel> builder) {
    this.name = name;
    this.summary = summary;
    this.settingsReader = settingsReader;
    this.builder = builder;
  }

  /**
   * Creates the command that runs a router.
   *
   * @return the command
   */
  static ProcessCommand router() {
    return new ProcessCommand(
        "router",
        "run a router",
        ProcessSettingsLoader::loadRouter,
        settings -> DaggerRouterComponent.factory().create(settings).kernel());
  }

  /**
   * Creates the command that runs a sidecar.
   *
   * @return the command
   */
  static ProcessCommand sidecar() {
    return new ProcessCommand(
        "sidecar",
        "run the sidecar of an endpoint",
        ProcessSettingsLoader::loadSidecar,
        settings -> DaggerSidecarComponent.factory().create(settings).kernel());
  }

  @Override
  public String name() {
    return name;
  }

  @Override
  public String summary() {
    return summary;
  }

  @Override
  public void declareOptions(final OptionParser parser) {
    parser.accepts(SETTINGS, "the TOML file with the settings").withRequiredArg().required();
  }

  @Override
  public ExitCode run(final OptionSet options, final Console console)
      throws IOException, InterruptedException {
    final Path file = Path.of((String) options.valueOf(SETTINGS));
    final ProcessSettings settings = settingsReader.read(file.toString(), Files.readString(file));
    LogSetup.install(settings.logFormat(), settings.logLevel(), settings.node());
    final Kernel kernel = builder.apply(settings);
    ProcessSignals.handle(() -> stop(kernel));
    kernel.start();
    final int peerPort = kernel.find(ServiceNames.PEERS, PeerService.class).port();
    console.out().println("ready " + settings.node() + " peer_port=" + peerPort);
    new CountDownLatch(1).await();
    return ExitCode.OK;
  }

  private static void stop(final Kernel kernel) {
    try {
      kernel.stop();
    } finally {
      Runtime.getRuntime().halt(ExitCode.OK.number());
    }
  }

  /** Reads the settings of a kind of process. */
  @FunctionalInterface
  private interface SettingsReader {

    /**
     * Reads the settings.
     *
     * @param source the name of the file
     * @param text the file's text
     * @return the settings
     */
    ProcessSettings read(String source, String text);
  }
}
