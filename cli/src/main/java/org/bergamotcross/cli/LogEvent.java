package org.bergamotcross.cli;

import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.Map;
import java.util.Optional;

/**
 * One line of an event log.
 *
 * @param source the name of the log file without its ending
 * @param time when the event was logged, by the clock of its instance
 * @param values the pairs of the line
 */
record LogEvent(String source, Instant time, Map<String, String> values) {

  static Optional<LogEvent> read(String source, String line) {
    return KeyValueLine.read(line)
        .filter(values -> values.containsKey("event"))
        .flatMap(
            values ->
                time(values.getOrDefault("time", ""))
                    .map(time -> new LogEvent(source, time, values)));
  }

  private static Optional<Instant> time(String text) {
    try {
      return Optional.of(Instant.parse(text));
    } catch (DateTimeParseException e) {
      return Optional.empty();
    }
  }

  String name() {
    return values.get("event");
  }

  String value(String key) {
    return values.getOrDefault(key, "unknown");
  }

  boolean has(String key, String value) {
    return value.equals(values.get(key));
  }
}
