package org.bergamotcross.entry;

import static com.google.common.truth.Truth.assertThat;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against a daemon that starts with invalid settings, or reports their problems one at a
 * time.
 */
class EntryMainTest {
  private final StringWriter out = new StringWriter();
  private final StringWriter err = new StringWriter();
  @TempDir private Path folder;

  @Nested
  class Settings {
    @Test
    void areReportedWithAllProblemsAtOnce() throws Exception {
      Path file =
          Files.writeString(
              folder.resolve("entry.ini"),
              """
              [instance]
              id = Entry One
              failure-domain = a
              [listen]
              callers = localhost:80
              peers = 127.0.0.1:7001
              operations = 127.0.0.1:7002
              [platform]
              address = 127.0.0.1:7003
              [limits]
              max-timeout-ms = 90000
              [limit]
              ring = 1
              """);
      assertThat(run("--settings", file.toString(), "--check"))
          .isEqualTo(EntryMain.EXIT_INVALID_USAGE);
      assertThat(err.toString().lines().toList()).hasSize(4);
      assertThat(err.toString()).contains("[instance] id: found \"Entry One\"");
      assertThat(err.toString()).contains("[listen] callers: found \"localhost:80\"");
      assertThat(err.toString()).contains("[limits] max-timeout-ms: found \"90000\"");
      assertThat(err.toString()).contains("[limit]: found an unknown section");
    }
  }

  @Nested
  class DelegatedRates {
    // With longer intervals, delegations expire between heartbeats and every rate-limited request
    // is refused.
    @Test
    void needHeartbeatsThatKeepDelegationsInForce() throws Exception {
      Path file =
          Files.writeString(
              folder.resolve("entry.ini"),
              """
              [instance]
              id = entry-1
              failure-domain = a
              [listen]
              callers = 127.0.0.1:7000
              peers = 127.0.0.1:7001
              operations = 127.0.0.1:7002
              [platform]
              address = 127.0.0.1:7003
              [peers]
              beat-ms = 2000
              [rates]
              sharing = delegated
              """);
      assertThat(run("--settings", file.toString(), "--check"))
          .isEqualTo(EntryMain.EXIT_INVALID_USAGE);
      assertThat(err.toString())
          .contains(
              "[peers] beat-ms: found 2000; expected at most 1000 with [rates] sharing = delegated");
    }
  }

  @Nested
  class CommandLine {
    @Test
    void withoutSettingsIsInvalid() {
      assertThat(run()).isEqualTo(EntryMain.EXIT_INVALID_USAGE);
      assertThat(err.toString()).contains("--settings FILE is missing");
    }

    @Test
    void helpAndVersionStartNothing() {
      assertThat(run("--help")).isEqualTo(EntryMain.EXIT_SUCCESS);
      assertThat(run("--version")).isEqualTo(EntryMain.EXIT_SUCCESS);
      assertThat(out.toString()).contains("--settings FILE");
      assertThat(out.toString()).contains("bergamotcross-entry 0.1.0-SNAPSHOT");
    }
  }

  private int run(String... arguments) {
    return EntryMain.run(arguments, new PrintWriter(out, true), new PrintWriter(err, true));
  }
}
