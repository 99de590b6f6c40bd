package org.bulrushweir.command;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.nio.file.NoSuchFileException;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.bulrushweir.api.InvalidInputException;
import org.bulrushweir.toml.NearestName;

/** Finds and runs the command that a command line names. */
public final class CommandLine {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final String HELP = "help";

  private final List<Command> commands;
  private final Console console;

  /**
   * Creates a command line.
   *
   * @param commands the commands
   * @param console where they write
   */
  public CommandLine(final List<Command> commands, final Console console) {
    this.commands = List.copyOf(commands);
    this.console = console;
  }

  /**
   * Runs a command line.
   *
   * @param arguments the arguments
   * @return the exit code
   */
  public ExitCode run(final List<String> arguments) {
    if (arguments.isEmpty()) {
      printOverview();
      return ExitCode.USAGE;
    }
    if (arguments.getFirst().equals("--help") || arguments.getFirst().equals(HELP)) {
      printOverview();
      return ExitCode.OK;
    }
    final Optional<Command> command = find(arguments);
    if (command.isEmpty()) {
      final List<String> names = commands.stream().map(Command::name).toList();
      console
          .err()
          .println(
              "bulrushweir: unknown command \""
                  + arguments.getFirst()
                  + "\"; "
                  + NearestName.suggestion(arguments.getFirst(), names));
      return ExitCode.USAGE;
    }
    final int words = command.get().name().split(" ").length;
    return runCommand(command.get(), arguments.subList(words, arguments.size()));
  }

  private Optional<Command> find(final List<String> arguments) {
    return commands.stream()
        .filter(
            command -> {
              final List<String> words = Arrays.asList(command.name().split(" "));
              return arguments.size() >= words.size()
                  && arguments.subList(0, words.size()).equals(words);
            })
        .findFirst();
  }

  private ExitCode runCommand(final Command command, final List<String> arguments) {
    final OptionParser parser = new OptionParser();
    parser.accepts(HELP, "show this help").forHelp();
    command.declareOptions(parser);
    try {
      final OptionSet options = parser.parse(arguments.toArray(String[]::new));
      if (options.has(HELP)) {
        console.out().println("bulrushweir " + command.name() + ": " + command.summary());
        parser.printHelpOn(console.out());
        return ExitCode.OK;
      }
      return command.run(options, console);
    } catch (OptionException | UsageException e) {
      console.err().println("bulrushweir " + command.name() + ": " + e.getMessage());
      return ExitCode.USAGE;
    } catch (InvalidInputException e) {
      e.findings().forEach(finding -> console.err().println(finding));
      return ExitCode.FINDINGS;
    } catch (NoSuchFileException e) {
      console.err().println("bulrushweir " + command.name() + ": no such file: " + e.getFile());
      return ExitCode.USAGE;
    } catch (IOException e) {
      console.err().println("bulrushweir " + command.name() + ": " + e.getMessage());
      return ExitCode.FAILED;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return ExitCode.FAILED;
    } catch (RuntimeException e) {
      logger.atSevere().withCause(e).log("%s failed", command.name());
      return ExitCode.FAILED;
    }
  }

  private void printOverview() {
    console.out().println("Usage: bulrushweir <command> [options]");
    console.out().println();
    for (final Command command : commands) {
      console.out().printf("  %-18s %s%n", command.name(), command.summary());
    }
    console.out().println();
    console.out().println("bulrushweir <command> --help shows the options of a command.");
  }
}
