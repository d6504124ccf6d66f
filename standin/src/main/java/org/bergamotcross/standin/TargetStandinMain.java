package org.bergamotcross.standin;

import java.time.Duration;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;

/** Runs a target stand-in as a process until it receives a signal. */
public final class TargetStandinMain {
  private TargetStandinMain() {}

  /**
   * Starts the stand-in and prints its address.
   *
   * <p>Exits with code 2 if the arguments are invalid, and with 1 if the address can't be bound.
   *
   * @param arguments the command line, as described by {@code --help}
   */
  public static void main(String[] arguments) {
    Options options =
        new Options()
            .addOption(
                Option.builder()
                    .longOpt("name")
                    .hasArg()
                    .argName("name")
                    .desc("name of the target in its responses; default target")
                    .get())
            .addOption(
                StandinMain.numberOption(
                    "slots", "n", "maximum number of concurrent requests; default 4"))
            .addOption(
                StandinMain.numberOption(
                    "connections", "n", "maximum number of open connections; default 400"))
            .addOption(
                StandinMain.numberOption(
                    "work-ms", "ms", "processing time of a request; default 5"));
    StandinMain.run(
        "standin-target",
        options,
        arguments,
        (address, line) -> {
          TargetStandin target =
              TargetStandin.builder(line.getOptionValue("name", "target"))
                  .address(address)
                  .slots((int) StandinMain.numberValue(line, "slots", 4))
                  .maxConnections((int) StandinMain.numberValue(line, "connections", 400))
                  .workTime(Duration.ofMillis(StandinMain.numberValue(line, "work-ms", 5)))
                  .start();
          return target.address();
        });
  }
}
