package org.bergamotcross.cli;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** Formats a report as text lines. */
sealed interface OutputFormat {

  /** Writes aligned columns under a header line, for people. */
  record Table() implements OutputFormat {}

  /** Writes one line of key=value pairs per row, for scripts. */
  record KeyValue() implements OutputFormat {}

  /** Returns the format with the given name, or empty if there is none. */
  static Optional<OutputFormat> of(String name) {
    return switch (name) {
      case "table" -> Optional.of(new Table());
      case "kv" -> Optional.of(new KeyValue());
      default -> Optional.empty();
    };
  }

  /** Returns the lines of a report. */
  default List<String> format(Report report) {
    return switch (this) {
      case Table ignored -> formatTable(report);
      case KeyValue ignored -> report.rows().stream().map(row -> formatPairs(report, row)).toList();
    };
  }

  private static String formatPairs(Report report, List<String> row) {
    return IntStream.range(0, row.size())
        .mapToObj(i -> report.columns().get(i) + "=" + KeyValueLine.quote(row.get(i)))
        .collect(Collectors.joining(" "));
  }

  private static List<String> formatTable(Report report) {
    List<String> lines = new ArrayList<>();
    if (!report.columns().isEmpty()) {
      lines.add(alignCells(report, report.columns()));
      report.rows().forEach(row -> lines.add(alignCells(report, row)));
    }
    return lines;
  }

  private static String alignCells(Report report, List<String> row) {
    StringBuilder line = new StringBuilder();
    for (int i = 0; i < row.size(); i++) {
      String cell = row.get(i);
      line.append(cell);
      if (i + 1 < row.size()) {
        line.append(" ".repeat(columnWidth(report, i) - cell.length() + 2));
      }
    }
    return line.toString();
  }

  private static int columnWidth(Report report, int column) {
    int cells = report.rows().stream().mapToInt(row -> row.get(column).length()).max().orElse(0);
    return Math.max(cells, report.columns().get(column).length());
  }
}
