package org.bergamotcross.cli;

import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.Map;
import java.util.Optional;

/**
 * Holds one line of an event log.
 *
 * @param source the name of the log file without its extension
 * @param time the time of the event by the clock of its instance
 * @param values the key=value pairs of the line
 */
record LogEvent(String source, Instant time, Map<String, String> values) {

  static Optional<LogEvent> parse(String source, String line) {
    return KeyValueLine.parse(line)
        .filter(values -> values.containsKey("event"))
        .flatMap(
            values ->
                parseTime(values.getOrDefault("time", ""))
                    .map(time -> new LogEvent(source, time, values)));
  }

  private static Optional<Instant> parseTime(String text) {
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
