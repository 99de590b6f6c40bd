package org.bulrushweir.command;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.Optional;
import java.util.regex.Pattern;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.bulrushweir.configuration.ConfigHead;
import org.bulrushweir.store.PlatformStore;
import org.bulrushweir.store.Row;

/** Shows the text that was accepted last, ready to be edited and submitted again. */
final class ShowCommand implements Command {

  /** The line that says what a text was edited from. */
  private static final Pattern BASE_LINE = Pattern.compile("(?m)^base *=.*\\R?");

  @Override
  public String name() {
    return "show";
  }

  @Override
  public String summary() {
    return "show the text that was accepted last, ready to be edited";
  }

  @Override
  public void declareOptions(final OptionParser parser) {
    PlatformOption.declare(parser);
  }

  @Override
  public ExitCode run(final OptionSet options, final Console console) {
    return PlatformOption.use(options, console, store -> show(store, console));
  }

  private static ExitCode show(final PlatformStore store, final Console console) {
    final Row row = store.read(ConfigHead.ROW_KEY).join();
    if (!row.exists()) {
      console.err().println("no configuration was accepted yet");
      return ExitCode.FAILED;
    }
    final ConfigHead head;
    try {
      head = new ObjectMapper().readValue(row.value(), ConfigHead.class);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("the head row is malformed", e);
    }
    final Optional<String> text = store.object(head.objectKey()).join();
    if (text.isEmpty()) {
      console.err().println("the text of configuration " + head.number() + " is missing");
      return ExitCode.FAILED;
    }
    console.out().print(withBase(text.get(), head.number()));
    return ExitCode.OK;
  }

  /**
   * Makes a text say what it was edited from.
   *
   * @param text the text
   * @param number the number
   * @return the text, with a line that says so at the top
   */
  static String withBase(final String text, final long number) {
    return "base = " + number + System.lineSeparator() + BASE_LINE.matcher(text).replaceAll("");
  }
}
