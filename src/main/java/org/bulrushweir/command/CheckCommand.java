package org.bulrushweir.command;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.bulrushweir.api.FindingCollector;
import org.bulrushweir.api.InvalidInputException;
import org.bulrushweir.declaration.DeclarationLoader;

/** Checks operators' texts without submitting them. */
final class CheckCommand implements Command {

  @Override
  public String name() {
    return "check";
  }

  @Override
  public String summary() {
    return "check texts and list all findings with their places";
  }

  @Override
  public void declareOptions(final OptionParser parser) {
    parser.nonOptions("the TOML files to check");
  }

  @Override
  public ExitCode run(final OptionSet options, final Console console) throws IOException {
    final List<?> files = options.nonOptionArguments();
    if (files.isEmpty()) {
      throw new UsageException("name at least one file");
    }
    final FindingCollector findings = new FindingCollector();
    for (final Object file : files) {
      try {
        DeclarationLoader.load(file.toString(), Files.readString(Path.of(file.toString())));
      } catch (InvalidInputException e) {
        e.findings().forEach(findings::add);
      }
    }
    findings.throwIfAny();
    console.out().println("no findings");
    return ExitCode.OK;
  }
}
