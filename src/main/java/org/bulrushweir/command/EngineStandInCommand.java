package org.bulrushweir.command;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.bulrushweir.engine.EngineProtocol;
import org.bulrushweir.kernel.SystemClock;
import org.bulrushweir.standin.EngineOptions;
import org.bulrushweir.standin.EngineStandIn;

/** Runs a stand-in for a model engine. */
final class EngineStandInCommand implements Command {

  private static final String MODEL = "model";
  private static final String SLOTS = "slots";
  private static final String CACHE_BLOCKS = "cache-blocks";
  private static final String STEP = "step-ms";
  private static final String PREFILL = "prefill-tokens-per-step";
  private static final String IGNORE_FENCING = "ignore-fencing";

  @Override
  public String name() {
    return "standin engine";
  }

  @Override
  public String summary() {
    return "run a stand-in for a model engine";
  }

  @Override
  public void declareOptions(final OptionParser parser) {
    StandInOptions.declareAddress(parser);
    parser.accepts(MODEL, "a model that is loaded at the start").withRequiredArg();
    integer(parser, SLOTS, "how many requests run at once", EngineOptions.DEFAULT.slots());
    integer(
        parser,
        CACHE_BLOCKS,
        "how many blocks the prefix cache holds",
        EngineOptions.DEFAULT.cacheBlocks());
    integer(
        parser,
        STEP,
        "how long a token takes, in milliseconds",
        (int) EngineOptions.DEFAULT.stepMs());
    integer(
        parser,
        PREFILL,
        "how many prompt tokens are read in a step",
        EngineOptions.DEFAULT.prefillTokensPerStep());
    parser.accepts(IGNORE_FENCING, "carry out orders with old fencing tokens");
  }

  private static void integer(
      final OptionParser parser, final String name, final String help, final int fallback) {
    parser.accepts(name, help).withRequiredArg().ofType(Integer.class).defaultsTo(fallback);
  }

  @Override
  public ExitCode run(final OptionSet options, final Console console) throws InterruptedException {
    final List<EngineProtocol.LoadedModel> models = new ArrayList<>();
    for (final Object model : options.valuesOf(MODEL)) {
      models.add(new EngineProtocol.LoadedModel(model.toString(), "1", List.of()));
    }
    final EngineOptions defaults = EngineOptions.DEFAULT;
    final EngineStandIn engine =
        new EngineStandIn(
            StandInOptions.host(options),
            StandInOptions.port(options),
            new SystemClock(),
            new EngineOptions(
                (Integer) options.valueOf(SLOTS),
                (Integer) options.valueOf(CACHE_BLOCKS),
                (Integer) options.valueOf(STEP),
                (Integer) options.valueOf(PREFILL),
                defaults.loadLagMs(),
                defaults.eventLagMs(),
                defaults.eventLossRate(),
                !options.has(IGNORE_FENCING),
                defaults.loadMs(),
                models));
    console.out().println("ready engine port=" + engine.port());
    new CountDownLatch(1).await();
    return ExitCode.OK;
  }
}
