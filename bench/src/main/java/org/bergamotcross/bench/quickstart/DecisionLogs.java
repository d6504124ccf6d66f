package org.bergamotcross.bench.quickstart;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;

/** Looks up routing decisions in the event logs of the instances. */
final class DecisionLogs {
  private static final int TRIES = 20;
  private static final int PAUSE_MS = 100;

  private final Path folder;

  DecisionLogs(Path folder) {
    this.folder = folder;
  }

  /** Tells whether a request was sent to a target as its trial; waits until the log has it. */
  boolean isTrial(String request, String target) throws IOException, InterruptedException {
    String chosen = "event=route.chosen request=" + request + " ";
    for (int i = 0; i < TRIES; i++) {
      List<String> decisions = lines().filter(line -> line.contains(chosen)).toList();
      if (!decisions.isEmpty()) {
        return decisions.stream()
            .anyMatch(line -> line.contains(" target=" + target + " reason=trial"));
      }
      Thread.sleep(PAUSE_MS);
    }
    return false;
  }

  private Stream<String> lines() throws IOException {
    try (Stream<Path> files = Files.list(folder)) {
      return files
          .filter(file -> String.valueOf(file.getFileName()).matches("entry-\\d+\\.log"))
          .toList()
          .stream()
          .flatMap(DecisionLogs::lines);
    }
  }

  private static Stream<String> lines(Path file) {
    try {
      return Files.readAllLines(file, StandardCharsets.ISO_8859_1).stream();
    } catch (IOException e) {
      return Stream.empty();
    }
  }
}
