package org.bergamotcross.bench.quickstart;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;

/** Finds routing decisions in the event logs of the instances. */
final class RoutingEventLogs {
  private static final int MAX_POLLS = 20;
  private static final int POLL_INTERVAL_MILLIS = 100;

  private final Path directory;

  RoutingEventLogs(Path directory) {
    this.directory = directory;
  }

  /**
   * Returns whether a request was sent to a target as its trial. Polls the logs until they contain
   * the decision, and returns false if they never do.
   */
  boolean isTrial(String request, String target) throws IOException, InterruptedException {
    String decisionEvent = "event=route.chosen request=" + request + " ";
    for (int i = 0; i < MAX_POLLS; i++) {
      List<String> decisions = readLines().filter(line -> line.contains(decisionEvent)).toList();
      if (!decisions.isEmpty()) {
        return decisions.stream()
            .anyMatch(line -> line.contains(" target=" + target + " reason=trial"));
      }
      Thread.sleep(POLL_INTERVAL_MILLIS);
    }
    return false;
  }

  private Stream<String> readLines() throws IOException {
    try (Stream<Path> files = Files.list(directory)) {
      return files
          .filter(file -> String.valueOf(file.getFileName()).matches("entry-\\d+\\.log"))
          .toList()
          .stream()
          .flatMap(RoutingEventLogs::readLines);
    }
  }

  private static Stream<String> readLines(Path file) {
    try {
      return Files.readAllLines(file, StandardCharsets.ISO_8859_1).stream();
    } catch (IOException e) {
      return Stream.empty();
    }
  }
}
