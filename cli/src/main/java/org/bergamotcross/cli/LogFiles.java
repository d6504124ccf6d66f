package org.bergamotcross.cli;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Predicate;
import java.util.stream.Stream;

/** Reads events from log files and directories. */
final class LogFiles {
  private LogFiles() {}

  /** The result of reading the files. */
  sealed interface Result {

    /** Holds the events that match the filter, ordered by time, and the number of files read. */
    record Loaded(List<LogEvent> events, int fileCount) implements Result {}

    /** Indicates that a file or directory can't be read. */
    record Unreadable(String problem) implements Result {}
  }

  static Result read(List<Path> paths, Predicate<LogEvent> filter) {
    List<LogEvent> events = new ArrayList<>();
    int fileCount = 0;
    for (Path path : paths) {
      try {
        for (Path file : listFiles(path)) {
          fileCount++;
          addEvents(file, filter, events);
        }
      } catch (IOException | UncheckedIOException e) {
        return new Result.Unreadable(
            "--logs: cannot read \"" + path + "\" (" + e + "); expected a log file or a directory");
      }
    }
    events.sort(Comparator.comparing(LogEvent::time));
    return new Result.Loaded(events, fileCount);
  }

  private static List<Path> listFiles(Path path) throws IOException {
    if (!Files.isDirectory(path)) {
      return List.of(path);
    }
    try (Stream<Path> children = Files.list(path)) {
      return children.filter(p -> p.toString().endsWith(".log")).sorted().toList();
    }
  }

  private static void addEvents(Path file, Predicate<LogEvent> filter, List<LogEvent> events)
      throws IOException {
    String name = String.valueOf(file.getFileName()).replaceFirst("\\.log$", "");
    // ISO 8859-1 maps each byte to a character, so that a corrupt line can't abort the reading.
    try (Stream<String> lines = Files.lines(file, StandardCharsets.ISO_8859_1)) {
      lines.forEach(line -> LogEvent.parse(name, line).filter(filter).ifPresent(events::add));
    }
  }
}
