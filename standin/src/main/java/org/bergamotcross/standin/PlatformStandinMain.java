package org.bergamotcross.standin;

import java.time.Duration;
import org.apache.commons.cli.Options;

/** Runs a platform stand-in as a process until it receives a signal. */
public final class PlatformStandinMain {
  private PlatformStandinMain() {}

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
                StandinMain.numberOption(
                    "retention",
                    "records",
                    "number of records that each stream keeps; default all"))
            .addOption(
                StandinMain.numberOption(
                    "list-lag-ms", "ms", "delay of changes in the instance list; default 0"));
    StandinMain.run(
        "standin-platform",
        options,
        arguments,
        (address, line) -> {
          long retention = StandinMain.numberValue(line, "retention", Integer.MAX_VALUE);
          PlatformStandin standin =
              PlatformStandin.builder()
                  .address(address)
                  .retention((int) Math.min(retention, Integer.MAX_VALUE))
                  .instanceListLag(
                      Duration.ofMillis(StandinMain.numberValue(line, "list-lag-ms", 0)))
                  .start();
          return standin.address();
        });
  }
}
