package org.bergamotcross.cli;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.bergamotcross.standin.FaultScope;
import org.bergamotcross.standin.FaultScope.Operation;
import org.bergamotcross.standin.PlatformFault;
import org.bergamotcross.standin.PlatformStandin;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against reported outcomes that differ from the decision in the log. */
class PublishCommandTest {
  private static final String SETTINGS = "[team]\nname = depot\n";

  private final CapturedProgram program = new CapturedProgram();
  private final PlatformStandin platform = PlatformStandin.builder().start();
  @TempDir Path folder;
  private Path file;

  @BeforeEach
  void writeFile() throws IOException {
    file = Files.writeString(folder.resolve("depot.ini"), SETTINGS);
  }

  @AfterEach
  void stop() {
    platform.close();
  }

  private int publish(String... options) {
    List<String> arguments =
        new ArrayList<>(
            List.of(
                "publish",
                file.toString(),
                "--platform",
                "127.0.0.1:" + platform.address().getPort(),
                "--author",
                "ann",
                "--format",
                "kv"));
    arguments.addAll(List.of(options));
    return program.run(arguments.toArray(new String[0]));
  }

  private String printed(String column) {
    return KeyValueLine.parse(program.out()).map(m -> m.get(column)).orElse("");
  }

  private long edits() {
    return platform.history("control").size();
  }

  @Nested
  class Check {
    @Test
    void reportsContentsOrAllProblems() throws IOException {
      assertThat(program.run("check", file.toString(), "--format", "kv")).isEqualTo(0);
      assertThat(program.out()).startsWith("team=depot organisations=0");
      Files.writeString(file, "[team]\nname = Depot 1\n[pol x]\na = b\n");
      assertThat(program.run("check", file.toString())).isEqualTo(2);
      assertThat(program.out()).contains("found \"Depot 1\"");
      assertThat(program.out()).contains("[pol x]");
      assertThat(publish()).isEqualTo(2);
      assertThat(edits()).isEqualTo(0);
    }
  }

  @Nested
  class Accepted {
    @Test
    void followsTheVersionInForce() {
      assertThat(publish()).isEqualTo(0);
      assertThat(printed("result")).isEqualTo("accepted");
      assertThat(printed("offset")).isEqualTo("0");
      assertThat(publish()).isEqualTo(0);
      assertThat(printed("offset")).isEqualTo("1");
      assertThat(printed("based-on")).isEqualTo("0");
    }

    @Test
    void isReportedWhenTheResponseToTheAppendIsLost() {
      platform.injectFault(new PlatformFault.LostResponse());
      assertThat(publish()).isEqualTo(0);
      assertThat(printed("offset")).isEqualTo("0");
      assertThat(edits()).isEqualTo(1);
    }

    @Test
    void isNotReportedFromAStalePage() throws Exception {
      assertThat(publish()).isEqualTo(0);
      platform.injectFault(
          new PlatformFault.StalePage(), new FaultScope(Operation.READS, Set.of()));
      assertThat(publish("--timeout-ms", "500", "--based-on", "0")).isEqualTo(4);
      platform.injectFault(new PlatformFault.None());
      String edit = printed("edit");
      assertThat(publish("--edit-id", edit, "--based-on", "0")).isEqualTo(0);
      assertThat(printed("offset")).isEqualTo("1");
    }
  }

  @Nested
  class Rejected {
    @Test
    void namesTheWinningEdit() {
      assertThat(publish("--edit-id", "first")).isEqualTo(0);
      assertThat(publish("--based-on", "-1")).isEqualTo(1);
      assertThat(program.err()).contains("edit first by ann at offset 0");
      assertThat(printed("result")).isEqualTo("rejected");
    }
  }

  @Nested
  class Unreachable {
    @Test
    void publishesNothing() {
      platform.injectFault(new PlatformFault.Outage(false));
      assertThat(publish("--timeout-ms", "300")).isEqualTo(3);
      assertThat(publish("--timeout-ms", "300", "--based-on", "-1")).isEqualTo(3);
      platform.injectFault(new PlatformFault.None());
      assertThat(edits()).isEqualTo(0);
    }
  }

  @Nested
  class OutcomeUnknown {
    // Combines two faults: the append takes effect but its response is lost, and all reads fail.
    @Test
    void canBeRepeatedWithTheSameEditId() {
      platform.injectFault(new PlatformFault.LostResponse());
      platform.injectFault(
          new PlatformFault.Outage(true), new FaultScope(Operation.READS, Set.of()));
      assertThat(publish("--timeout-ms", "2500", "--based-on", "-1")).isEqualTo(4);
      String edit = printed("edit");
      assertThat(program.err()).contains("--edit-id " + edit + " --based-on -1");
      platform.injectFault(new PlatformFault.None());
      assertThat(publish("--edit-id", edit, "--based-on", "-1")).isEqualTo(0);
      assertThat(printed("offset")).isEqualTo("0");
    }
  }

  @Nested
  class Withdraw {
    private int withdraw(String... options) {
      List<String> arguments =
          new ArrayList<>(
              List.of(
                  "withdraw",
                  "--platform",
                  "127.0.0.1:" + platform.address().getPort(),
                  "--format",
                  "kv"));
      arguments.addAll(List.of(options));
      return program.run(arguments.toArray(new String[0]));
    }

    @Test
    void recordsTheHashOfTheKeyEvenWhenAResponseIsLost() throws Exception {
      Path key = Files.writeString(folder.resolve("key"), "secret\n");
      platform.injectFault(new PlatformFault.LostResponse());
      assertThat(withdraw("--key-file", key.toString(), "--timeout-ms", "100")).isEqualTo(4);
      platform.injectFault(new PlatformFault.Latency(Duration.ofMillis(50)));
      assertThat(withdraw("--key-file", key.toString())).isEqualTo(0);
      String hash = "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b";
      assertThat(printed("sha256")).isEqualTo(hash);
      assertThat(platform.history("control").get(0).text()).contains(hash);
    }

    @Test
    void namesTheInstancesThatDoNotReportTheOffset() throws IOException {
      String key = "0".repeat(64);
      try (FakeStatusPage current = new FakeStatusPage("e1", 0, true);
          FakeStatusPage behind = new FakeStatusPage("e2", -1, true)) {
        String all = current.address() + "," + behind.address();
        assertThat(withdraw("--sha256", key, "--instances", current.address())).isEqualTo(0);
        assertThat(withdraw("--sha256", key, "--instances", all, "--timeout-ms", "500"))
            .isEqualTo(4);
        assertThat(program.err()).contains("not yet reported by ");
        assertThat(program.err()).contains(behind.address());
      }
    }

    @Test
    void acceptsNoKeyAsAnArgument() {
      assertThat(withdraw("secret")).isEqualTo(2);
      assertThat(withdraw("--sha256", "AB")).isEqualTo(2);
      assertThat(program.err()).contains("expected 64 lower-case hex digits");
    }
  }
}
