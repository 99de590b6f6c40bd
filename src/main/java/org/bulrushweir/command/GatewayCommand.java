package org.bulrushweir.command;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.bulrushweir.gateway.GatewayService;
import org.bulrushweir.kernel.Kernel;
import org.bulrushweir.logging.AsyncLogWriter;
import org.bulrushweir.logging.LogSetup;
import org.bulrushweir.node.ServiceNames;
import org.bulrushweir.process.DaggerGatewayComponent;
import org.bulrushweir.process.GatewayComponent;
import org.bulrushweir.settings.GatewaySettings;
import org.bulrushweir.settings.GatewaySettingsLoader;

/** Runs a gateway until the process is told to stop. */
final class GatewayCommand implements Command {

  private static final String SETTINGS = "settings";

  /** The environment variable with the path of the settings, used without the option. */
  private static final String SETTINGS_VARIABLE = "BULRUSHWEIR_CONFIG";

  @Override
  public String name() {
    return "gateway";
  }

  @Override
  public String summary() {
    return "run a router that reaches endpoints directly";
  }

  @Override
  public void declareOptions(final OptionParser parser) {
    parser
        .accepts(SETTINGS, "the TOML file with the settings; by default " + SETTINGS_VARIABLE)
        .withRequiredArg();
  }

  @Override
  public ExitCode run(final OptionSet options, final Console console)
      throws IOException, InterruptedException {
    final Path file = Path.of(settingsPath(options));
    final GatewaySettings settings =
        GatewaySettingsLoader.load(file.toString(), Files.readString(file));
    final AsyncLogWriter log = new AsyncLogWriter(console.out(), AsyncLogWriter.DEFAULT_CAPACITY);
    LogSetup.install(settings.logFormat(), settings.logLevel(), settings.node(), log);
    final GatewayComponent component = DaggerGatewayComponent.factory().create(settings, log);
    final Kernel kernel = component.kernel();
    ProcessSignals.handle(() -> stop(component, log));
    kernel.start();
    final int port = kernel.find(ServiceNames.GATEWAY, GatewayService.class).callersPort();
    console.out().println("ready " + settings.node() + " port=" + port);
    new CountDownLatch(1).await();
    return ExitCode.OK;
  }

  private static String settingsPath(final OptionSet options) {
    if (options.has(SETTINGS)) {
      return (String) options.valueOf(SETTINGS);
    }
    final String path = System.getenv(SETTINGS_VARIABLE);
    if (path == null) {
      throw new UsageException("give --settings or set " + SETTINGS_VARIABLE);
    }
    return path;
  }

  private static void stop(final GatewayComponent component, final AsyncLogWriter log) {
    try {
      component.stopSignal().receive(component.clock().nowMs());
      component.kernel().stop();
      log.close();
    } finally {
      Runtime.getRuntime().halt(ExitCode.OK.number());
    }
  }
}
