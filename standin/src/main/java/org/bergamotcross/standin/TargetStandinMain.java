package org.bergamotcross.standin;

import java.time.Duration;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;

/** Runs a target stand-in as a process until it is told to stop. */
public final class TargetStandinMain {
  private TargetStandinMain() {}

  /**
   * Starts the process and prints its address.
   *
   * @param arguments see {@code --help}; exit code 2 for invalid ones, 1 when it can't listen
   */
  public static void main(String[] arguments) {
    Options options =
        new Options()
            .addOption(
                Option.builder()
                    .longOpt("name")
                    .hasArg()
                    .argName("name")
                    .desc("name that the answers carry; default target")
                    .get())
            .addOption(StandinMain.number("slots", "n", "requests run at once; default 4"))
            .addOption(StandinMain.number("connections", "n", "open connections; default 400"))
            .addOption(StandinMain.number("work-ms", "ms", "time for each request; default 5"));
    StandinMain.run(
        "standin-target",
        options,
        arguments,
        (address, line) -> {
          TargetStandin target =
              TargetStandin.builder(line.getOptionValue("name", "target"))
                  .address(address)
                  .slots((int) StandinMain.number(line, "slots", 4))
                  .maxConnections((int) StandinMain.number(line, "connections", 400))
                  .workTime(Duration.ofMillis(StandinMain.number(line, "work-ms", 5)))
                  .start();
          return target.address();
        });
  }
}
