package org.bulrushweir.command;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.OptionalLong;
import java.util.concurrent.CompletionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.bulrushweir.configuration.SubmitResult;
import org.bulrushweir.declaration.Declaration;
import org.bulrushweir.declaration.DeclarationLoader;
import org.bulrushweir.store.PlatformStore;

/** Submits an operators' text. */
final class SubmitCommand implements Command {

  /** The option that names what the text was edited from. */
  private static final String BASE = "base";

  /** The option that skips watching the configuration come into force. */
  private static final String NO_WAIT = "no-wait";

  @Override
  public String name() {
    return "submit";
  }

  @Override
  public String summary() {
    return "submit a text; once accepted it is in force everywhere within seconds";
  }

  @Override
  public void declareOptions(final OptionParser parser) {
    PlatformOption.declare(parser);
    parser
        .accepts(
            BASE,
            "the number of the configuration that the text was edited from;"
                + " goes before the text's own \"base\"")
        .withRequiredArg()
        .ofType(Long.class);
    parser.accepts(NO_WAIT, "do not watch the configuration come into force");
    parser.nonOptions("the TOML file to submit");
  }

  @Override
  public ExitCode run(final OptionSet options, final Console console) throws IOException {
    if (options.nonOptionArguments().size() != 1) {
      throw new UsageException("name one file");
    }
    final Path file = Path.of(options.nonOptionArguments().getFirst().toString());
    final String text = Files.readString(file);
    final Declaration declaration = DeclarationLoader.load(file.toString(), text);
    final OptionalLong base =
        options.has(BASE)
            ? OptionalLong.of((Long) options.valueOf(BASE))
            : declaration.baseNumber();
    final boolean wait = !options.has(NO_WAIT);
    return PlatformOption.use(options, console, store -> submit(store, text, base, wait, console));
  }

  private static ExitCode submit(
      final PlatformStore store,
      final String text,
      final OptionalLong base,
      final boolean wait,
      final Console console) {
    final Submission submission = new Submission(store, text, base);
    try {
      return switch (submission.run()) {
        case SubmitResult.Accepted accepted -> {
          console.out().println("accepted as configuration " + accepted.number());
          if (wait) {
            spread(store, accepted.number().value(), text, console);
          }
          yield ExitCode.OK;
        }
        case SubmitResult.Conflict conflict -> {
          explain(submission, conflict, console);
          yield ExitCode.CONFLICT;
        }
        case SubmitResult.BaseMissing missing -> {
          console
              .err()
              .printf(
                  "not accepted: configuration %d is in force; say with \"base = <number>\" or"
                      + " --base which one the text was edited from"
                      + " (bulrushweir show prints the present text)%n",
                  missing.current());
          yield ExitCode.CONFLICT;
        }
        case SubmitResult.Unavailable unavailable -> {
          console.err().println("not accepted: " + unavailable.message());
          yield ExitCode.UNAVAILABLE;
        }
        case SubmitResult.Unknown unknown -> {
          console.err().println("unknown whether accepted: " + unknown.message());
          yield ExitCode.UNKNOWN;
        }
      };
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return ExitCode.FAILED;
    }
  }

  private static void spread(
      final PlatformStore store, final long number, final String text, final Console console)
      throws InterruptedException {
    try {
      ConfigSpread.spread(store.vms().join(), number, text, console);
    } catch (CompletionException e) {
      console.out().println("the platform no longer answers; the fleet will find the text");
    }
  }

  private static void explain(
      final Submission submission, final SubmitResult.Conflict conflict, final Console console) {
    console
        .err()
        .printf(
            "not accepted: configuration %d has replaced %d, which the text was edited from%n",
            conflict.current(), conflict.base());
    submission
        .changes(conflict.base(), conflict.current())
        .forEach(line -> console.err().println("  " + line));
  }
}
