package org.bulrushweir.command;

/** The exit codes of all commands. */
public enum ExitCode {
  /** All went well. */
  OK(0),
  /** The command failed in a way that no other code describes. */
  FAILED(1),
  /** The command line is wrong. */
  USAGE(2),
  /** An input has findings. */
  FINDINGS(3),
  /** Another change came first. */
  CONFLICT(4),
  /** The platform does not answer; nothing was changed. */
  UNAVAILABLE(5),
  /** The platform's answer was lost; nobody can tell yet whether the change was made. */
  UNKNOWN(6);

  private final int number;

  ExitCode(final int number) {
    this.number = number;
  }

  /**
   * Returns the number that the process exits with.
   *
   * @return the number
   */
  public int number() {
    return number;
  }
}
