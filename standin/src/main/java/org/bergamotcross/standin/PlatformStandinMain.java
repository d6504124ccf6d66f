package org.bergamotcross.standin;

import java.time.Duration;
import org.apache.commons.cli.Options;

/** Runs a platform stand-in as a process until it is told to stop. */
public final class PlatformStandinMain {
  private PlatformStandinMain() {}

  /**
   * Starts the process and prints its address.
   *
   * @param arguments see {@code --help}; exit code 2 for invalid ones, 1 when it can't listen
   */
  public static void main(String[] arguments) {
    Options options =
        new Options()
            .addOption(
                StandinMain.number(
                    "retention", "records", "records that each stream keeps; default all"))
            .addOption(
                StandinMain.number("list-lag-ms", "ms", "lag of the instance list; default 0"));
    StandinMain.run(
        "standin-platform",
        options,
        arguments,
        (address, line) -> {
          long retention = StandinMain.number(line, "retention", Integer.MAX_VALUE);
          PlatformStandin standin =
              PlatformStandin.builder()
                  .address(address)
                  .retention((int) Math.min(retention, Integer.MAX_VALUE))
                  .instanceListLag(Duration.ofMillis(StandinMain.number(line, "list-lag-ms", 0)))
                  .start();
          return standin.address();
        });
  }
}
