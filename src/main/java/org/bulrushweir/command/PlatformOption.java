package org.bulrushweir.command;

import java.util.concurrent.CompletionException;
import java.util.function.Function;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import okhttp3.HttpUrl;
import okhttp3.OkHttpClient;
import org.bulrushweir.platform.HttpPlatformStore;
import org.bulrushweir.store.PlatformStore;

/** The option of operators' commands that names the platform. */
final class PlatformOption {

  /** The option's name. */
  private static final String NAME = "platform";

  /** How long a call to the platform may take, in milliseconds. */
  private static final long TIMEOUT_MS = 2_000;

  private PlatformOption() {}

  /**
   * Declares the option.
   *
   * @param parser where it is declared
   */
  static void declare(final OptionParser parser) {
    parser.accepts(NAME, "the platform's base URL").withRequiredArg().required();
  }

  /**
   * Does something with the platform.
   *
   * @param options the parsed options
   * @param console where complaints go
   * @param action what to do
   * @return the exit code
   */
  static ExitCode use(
      final OptionSet options,
      final Console console,
      final Function<PlatformStore, ExitCode> action) {
    final HttpUrl url = HttpUrl.parse((String) options.valueOf(NAME));
    if (url == null) {
      throw new UsageException("--platform is not a URL");
    }
    final OkHttpClient client = new OkHttpClient();
    try {
      return action.apply(new HttpPlatformStore(client, url, TIMEOUT_MS));
    } catch (CompletionException e) {
      console.err().println("the platform can't be used: " + e.getCause().getMessage());
      return ExitCode.UNAVAILABLE;
    } finally {
      client.dispatcher().executorService().shutdown();
      client.connectionPool().evictAll();
    }
  }
}
