package org.bergamotcross.cli;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against an explanation that misses events of a request or a target, or misstates them. */
class ExplainCommandTest {
  private final CapturedProgram program = new CapturedProgram();
  @TempDir Path logs;

  @BeforeEach
  void writeLogs() throws IOException {
    Files.write(
        logs.resolve("entry-1.log"),
        List.of(
            "time=2026-01-02T10:00:00.200Z event=request.completed request=r1 organisation=t/a"
                + " target=s2 result=complete attempts=2 total-us=900",
            "Exception in thread \"x\" = not a log line",
            "time=2026-01-02T10:00:00.100500Z event=route.chosen request=r2 attempt=1 pool=t/p"
                + " target=s1",
            "time=2026-01-02T10:00:00.100Z event=route.chosen request=r1 attempt=1 pool=t/p"
                + " target=s1 reason=fewest-in-flight-of-two"));
    Files.write(
        logs.resolve("entry-2.log"),
        List.of(
            "time=2026-01-02T10:00:00.150Z event=target.ejected target=s1 pool=t/p fault=stalled"
                + " observers=2 failure-domains=2 age-ms=900 failures=0.0 ends=1.5"
                + " threshold-ms=400 left=2 trial-in-ms=1000",
            "time=2026-01-02T10:00:00.160Z event=target.new-kind target=s1 weight=0.1"
                + " reason=\"two words\""));
    Files.writeString(logs.resolve("other.txt"), "time=2026-01-02T10:00:00Z event=x request=r1\n");
  }

  private int explain(String... arguments) {
    String[] all = new String[arguments.length + 4];
    System.arraycopy(arguments, 0, all, 4, arguments.length);
    all[0] = "explain";
    all[1] = "--logs";
    all[2] = logs.toString();
    all[3] = "--format=kv";
    return program.run(all);
  }

  @Nested
  class OfARequest {
    @Test
    void listsEventsInTimeOrder() {
      assertThat(explain("r1")).isEqualTo(0);
      List<String> lines = program.out().lines().toList();
      assertThat(lines).hasSize(2);
      assertThat(lines.get(0)).contains("log=entry-1 event=route.chosen");
      assertThat(lines.get(0))
          .contains(
              "Attempt 1 was sent to target s1 of pool t/p. Reason: fewest-in-flight-of-two.");
      assertThat(lines.get(1)).contains("ended at target s2 with result complete");
    }

    @Test
    void thatIsUnknownIsReported() {
      assertThat(explain("r9")).isEqualTo(1);
      assertThat(program.err()).contains("no event about this in 2 log file(s)");
    }
  }

  @Nested
  class OfATarget {
    @Test
    void explainsTheEjectionAndOmitsEventsOfRequests() {
      assertThat(explain("--target", "s1")).isEqualTo(0);
      List<String> lines = program.out().lines().toList();
      assertThat(lines).hasSize(2);
      assertThat(lines.get(0))
          .endsWith(
              "meaning=\"Target s1 of pool t/p gets no more work from any instance: fault stalled,"
                  + " seen by 2 instance(s) in 2 failure domain(s), oldest request 900 ms against a"
                  + " threshold of 400 ms. The next trial is in 1000 ms.\"");
      // An event name that the command has no sentence for.
      assertThat(lines.get(1))
          .endsWith("meaning=\"Event target.new-kind: target s1, weight 0.1. Reason: two words.\"");
    }
  }

  @Nested
  class OfUnreadableLogs {
    @Test
    void namesTheFile() {
      assertThat(program.run("explain", "r1", "--logs", logs.resolve("none.log").toString()))
          .isEqualTo(2);
      assertThat(program.err()).contains("none.log");
    }
  }
}
