package org.bulrushweir.command;

import java.io.IOException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;

/** A command of the binary. */
public interface Command {

  /**
   * Returns the name by which the command is called.
   *
   * @return one or two words
   */
  String name();

  /**
   * Returns what the command does.
   *
   * @return one line
   */
  String summary();

  /**
   * Declares the command's options.
   *
   * @param parser where they are declared
   */
  void declareOptions(OptionParser parser);

  /**
   * Runs the command.
   *
   * @param options the parsed options
   * @param console where results go
   * @return the exit code
   * @throws IOException if a file can't be read
   * @throws InterruptedException if the thread is interrupted
   */
  ExitCode run(OptionSet options, Console console) throws IOException, InterruptedException;
}
