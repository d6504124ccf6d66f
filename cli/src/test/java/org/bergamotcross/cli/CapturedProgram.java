package org.bergamotcross.cli;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;

/** Runs the command line and captures its standard output and error output. */
final class CapturedProgram {
  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final ByteArrayOutputStream err = new ByteArrayOutputStream();

  int run(String... arguments) {
    out.reset();
    err.reset();
    return new CommandProgram(
            new PrintStream(out, true, StandardCharsets.UTF_8),
            new PrintStream(err, true, StandardCharsets.UTF_8))
        .run(arguments);
  }

  String out() {
    return out.toString(StandardCharsets.UTF_8);
  }

  String err() {
    return err.toString(StandardCharsets.UTF_8);
  }
}
