import java.io.IOException;
import java.nio.file.Path;

/** What a case needs: a temporary folder, a loopback address, its record and its mode. */
record Case(Path folder, String host, Record record, boolean trouble) {

  private static final int EXIT_HELD = 0;
  private static final int EXIT_BROKEN = 1;
  private static final int EXIT_NOT_RUN = 2;

  /** Plays a case; returns whether the rule was broken. */
  @FunctionalInterface
  interface Play {
    boolean isBroken(Case played) throws IOException, InterruptedException;
  }

  /** Plays a case and ends the process with the exit code that tells the result. */
  static void run(final String[] args, final Play play) {
    int exitCode = EXIT_NOT_RUN;
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    try (Record record = new Record(Path.of(args[1]))) {
      record.log("trouble: %b", trouble);
      try {
        final boolean broken =
            play.isBroken(new Case(Path.of(args[0]), Gateway.loopbackHost(), record, trouble));
        record.log(broken ? "the rule was broken" : "the rule held");
        exitCode = broken ? EXIT_BROKEN : EXIT_HELD;
      } catch (IOException | InterruptedException | RuntimeException e) {
        record.log("the case could not run: %s", e);
        e.printStackTrace();
      }
    } catch (IOException e) {
      e.printStackTrace();
    }
    System.exit(exitCode);
  }

  static void pause(final long ms) {
    try {
      Thread.sleep(ms);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
