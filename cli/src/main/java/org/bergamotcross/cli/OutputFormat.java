package org.bergamotcross.cli;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** How a report is written. */
sealed interface OutputFormat {

  /** Aligned columns under a heading, for reading. */
  record Table() implements OutputFormat {}

  /** One line of key=value pairs for each row, for scripts. */
  record KeyValue() implements OutputFormat {}

  /** Finds a format by its name. */
  static Optional<OutputFormat> of(String name) {
    return switch (name) {
      case "table" -> Optional.of(new Table());
      case "kv" -> Optional.of(new KeyValue());
      default -> Optional.empty();
    };
  }

  /** Writes a report. */
  default List<String> lines(Report report) {
    return switch (this) {
      case Table ignored -> table(report);
      case KeyValue ignored -> report.rows().stream().map(row -> pairs(report, row)).toList();
    };
  }

  private static String pairs(Report report, List<String> row) {
    return IntStream.range(0, row.size())
        .mapToObj(i -> report.columns().get(i) + "=" + KeyValueLine.quoted(row.get(i)))
        .collect(Collectors.joining(" "));
  }

  private static List<String> table(Report report) {
    List<String> lines = new ArrayList<>();
    if (!report.columns().isEmpty()) {
      lines.add(aligned(report, report.columns()));
      report.rows().forEach(row -> lines.add(aligned(report, row)));
    }
    return lines;
  }

  private static String aligned(Report report, List<String> row) {
    StringBuilder line = new StringBuilder();
    for (int i = 0; i < row.size(); i++) {
      String cell = row.get(i);
      line.append(cell);
      if (i + 1 < row.size()) {
        line.append(" ".repeat(width(report, i) - cell.length() + 2));
      }
    }
    return line.toString();
  }

  private static int width(Report report, int column) {
    int cells = report.rows().stream().mapToInt(row -> row.get(column).length()).max().orElse(0);
    return Math.max(cells, report.columns().get(column).length());
  }
}
