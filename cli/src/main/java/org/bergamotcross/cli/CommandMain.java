package org.bergamotcross.cli;

/** Entry point of the operators' command line. */
public final class CommandMain {
  private CommandMain() {}

  /**
   * Runs one command and exits with its exit code.
   *
   * @param arguments the command and its options; see {@code --help}
   */
  public static void main(String[] arguments) {
    System.exit(new CommandProgram(System.out, System.err).run(arguments));
  }
}
