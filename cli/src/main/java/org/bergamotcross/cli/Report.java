package org.bergamotcross.cli;

import java.util.ArrayList;
import java.util.List;

/**
 * Holds the output of a command as rows and columns, independent of the output format.
 *
 * @param columns the column names, in lower case with hyphens between words
 * @param rows the rows, each with one value per column
 */
record Report(List<String> columns, List<List<String>> rows) {
  static final Report EMPTY = new Report(List.of(), List.of());

  Report {
    columns = List.copyOf(columns);
    rows = rows.stream().map(List::copyOf).toList();
  }

  /** Creates a report with one row from alternating column names and values. */
  static Report ofPairs(String... namesAndValues) {
    List<String> names = new ArrayList<>();
    List<String> values = new ArrayList<>();
    for (int i = 0; i + 1 < namesAndValues.length; i += 2) {
      names.add(namesAndValues[i]);
      values.add(namesAndValues[i + 1]);
    }
    return new Report(names, List.of(values));
  }

  /** Creates a report with one column. */
  static Report ofLines(String column, List<String> lines) {
    return new Report(List.of(column), lines.stream().map(List::of).toList());
  }
}
