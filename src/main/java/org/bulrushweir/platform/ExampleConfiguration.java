package org.bulrushweir.platform;

import com.google.common.io.Resources;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;

/** A small configuration as the platform keeps it, for the demo and for tests. */
public final class ExampleConfiguration {

  private static final String RESOURCE = "example-configuration.json";
  private static final String VERSION = "@version@";

  private ExampleConfiguration() {}

  /**
   * Returns the configuration.
   *
   * @param version its version
   * @return the JSON text
   */
  public static String text(final long version) {
    try {
      return Resources.toString(
              Resources.getResource(ExampleConfiguration.class, RESOURCE), StandardCharsets.UTF_8)
          .replace(VERSION, Long.toString(version));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
