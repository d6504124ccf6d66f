package org.bergamotcross.cli;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Compares the events that the programs write with the table of the operations page. */
class EventTableTest {
  private static final Path ROOT = Path.of("..");
  private static final Pattern CALL = Pattern.compile("\\bevent\\(([^)]*)\\)");
  private static final Pattern NAME = Pattern.compile("\"([a-z]+\\.[a-z-]+)\"");
  private static final Pattern TABLE_ROW = Pattern.compile("^\\| ([a-z]+\\.[a-z., -]+) \\|.*");

  private static Set<String> writtenEvents() throws IOException {
    Set<String> names = new TreeSet<>();
    try (Stream<Path> files = Files.walk(ROOT)) {
      for (Path file : files.filter(EventTableTest::isProgramSource).toList()) {
        CALL.matcher(Files.readString(file))
            .results()
            .flatMap(call -> NAME.matcher(call.group(1)).results())
            .map(name -> name.group(1))
            .forEach(names::add);
      }
    }
    return names;
  }

  private static boolean isProgramSource(Path file) {
    return file.toString().endsWith(".java") && file.toString().contains("/src/main/");
  }

  private static Set<String> describedEvents() throws IOException {
    List<String> lines = Files.readAllLines(ROOT.resolve("docs/OPERATIONS.md"));
    Set<String> names = new TreeSet<>();
    lines.stream()
        .skip(lines.indexOf("## Events") + 1)
        .takeWhile(line -> !line.startsWith("## "))
        .flatMap(line -> TABLE_ROW.matcher(line).results())
        .map((MatchResult row) -> row.group(1))
        .flatMap(cell -> Stream.of(cell.split(", ")))
        .forEach(names::add);
    return names;
  }

  // Guards against an operator who finds an event in the logs that no page explains.
  @Nested
  class Events {
    @Test
    void areDescribed() throws IOException {
      Set<String> missing = writtenEvents();
      missing.removeAll(describedEvents());
      assertThat(missing).isEmpty();
    }

    @Test
    void exist() throws IOException {
      assertThat(writtenEvents()).contains("request.completed");
      Set<String> unknown = describedEvents();
      unknown.removeAll(writtenEvents());
      assertThat(unknown).isEmpty();
    }
  }
}
