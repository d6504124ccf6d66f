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

/** Reads event logs from files and directories. */
final class LogFiles {
  private LogFiles() {}

  /** The result of reading. */
  sealed interface Result {

    /** The events that were asked for, in the order of their times. */
    record Read(List<LogEvent> events, int files) implements Result {}

    /** A file or directory that can't be read. */
    record Unreadable(String problem) implements Result {}
  }

  static Result read(List<Path> paths, Predicate<LogEvent> wanted) {
    List<LogEvent> events = new ArrayList<>();
    int files = 0;
    for (Path path : paths) {
      try {
        for (Path file : filesOf(path)) {
          files++;
          addEvents(file, wanted, events);
        }
      } catch (IOException | UncheckedIOException e) {
        return new Result.Unreadable(
            "--logs: can't read \"" + path + "\" (" + e + "); expected a log file or a directory");
      }
    }
    events.sort(Comparator.comparing(LogEvent::time));
    return new Result.Read(events, files);
  }

  private static List<Path> filesOf(Path path) throws IOException {
    if (!Files.isDirectory(path)) {
      return List.of(path);
    }
    try (Stream<Path> children = Files.list(path)) {
      return children.filter(p -> p.toString().endsWith(".log")).sorted().toList();
    }
  }

  private static void addEvents(Path file, Predicate<LogEvent> wanted, List<LogEvent> events)
      throws IOException {
    String name = String.valueOf(file.getFileName()).replaceFirst("\\.log$", "");
    // Latin 1 maps each byte to a character, so a damaged line never stops the reading.
    try (Stream<String> lines = Files.lines(file, StandardCharsets.ISO_8859_1)) {
      lines.forEach(line -> LogEvent.read(name, line).filter(wanted).ifPresent(events::add));
    }
  }
}
