package org.bulrushweir.command;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import okhttp3.HttpUrl;
import okhttp3.OkHttpClient;
import org.bulrushweir.configuration.SubmitResult;
import org.bulrushweir.platform.HttpPlatformStore;
import org.bulrushweir.platform.PlatformStore;

/** Submits an operators' text. */
final class SubmitCommand implements Command {

  private static final String PLATFORM = "platform";
  private static final String BASE = "base";
  private static final long PLATFORM_TIMEOUT_MS = 2_000;

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
    parser.accepts(PLATFORM, "the platform's base URL").withRequiredArg().required();
    parser
        .accepts(BASE, "the number of the configuration that the text was edited from")
        .withRequiredArg()
        .ofType(Long.class);
    parser.nonOptions("the TOML file to submit");
  }

  @Override
  public ExitCode run(final OptionSet options, final Console console) throws IOException {
    if (options.nonOptionArguments().size() != 1) {
      throw new UsageException("name one file");
    }
    final HttpUrl url = HttpUrl.parse((String) options.valueOf(PLATFORM));
    if (url == null) {
      throw new UsageException("--platform is not a URL");
    }
    final Path file = Path.of(options.nonOptionArguments().getFirst().toString());
    final OkHttpClient client = new OkHttpClient();
    final PlatformStore store = new HttpPlatformStore(client, url, PLATFORM_TIMEOUT_MS);
    final Submission submission = new Submission(store);
    final SubmitResult result =
        submission.submit(file.toString(), Files.readString(file), (Long) options.valueOf(BASE));
    client.dispatcher().executorService().shutdown();
    return report(result, console);
  }

  private static ExitCode report(final SubmitResult result, final Console console) {
    return switch (result) {
      case SubmitResult.Accepted accepted -> {
        console.out().println("accepted as configuration " + accepted.number());
        yield ExitCode.OK;
      }
      case SubmitResult.Conflict conflict -> {
        console.err().println(conflict.message());
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
  }
}
