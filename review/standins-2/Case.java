import java.nio.file.Files;
import java.nio.file.Path;

/** Runs a case and turns its result into the exit code. */
final class Case {

  private static final int HELD = 0;
  private static final int BROKEN = 1;
  private static final int NOT_RUN = 2;

  /** A case; returns whether the rule was broken. */
  interface Body {
    boolean isBroken(Record record, Path folder, boolean trouble) throws Exception;
  }

  private Case() {}

  /** Runs the case whose record is written to the folder that the arguments name. */
  static void run(final String[] arguments, final Body body) throws Exception {
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final Path folder = Files.createTempDirectory("bulrushweir-case");
    int code = NOT_RUN;
    try (Record record = new Record(Path.of(arguments[0], "record.txt"))) {
      record.add("TROUBLE=%d", trouble ? 1 : 0);
      try {
        code = body.isBroken(record, folder, trouble) ? BROKEN : HELD;
        record.add(code == BROKEN ? "the rule was broken" : "the rule held");
      } catch (Exception e) {
        record.add("the case could not run: %s", e);
      }
    }
    System.exit(code);
  }
}
