package org.bergamotcross.cli;

/** Runs the operators' command line. */
public final class CommandMain {
  private CommandMain() {}

  /**
   * Runs one command and ends the process with its exit code.
   *
   * @param arguments the command and its options; see {@code --help}
   */
  public static void main(String[] arguments) {
    System.exit(new CommandProgram(System.out, System.err).run(arguments));
  }
}
