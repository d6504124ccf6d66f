package org.bergamotcross.cli;

import java.util.ArrayList;
import java.util.List;

/**
 * What a command tells the operator, independent of the output format.
 *
 * @param columns the names of the columns, in lower case with hyphens
 * @param rows the values, one for each column
 */
record Report(List<String> columns, List<List<String>> rows) {
  static final Report NONE = new Report(List.of(), List.of());

  Report {
    columns = List.copyOf(columns);
    rows = rows.stream().map(List::copyOf).toList();
  }

  /** Builds a report of one row from names and values in turn. */
  static Report ofPairs(String... namesAndValues) {
    List<String> names = new ArrayList<>();
    List<String> values = new ArrayList<>();
    for (int i = 0; i + 1 < namesAndValues.length; i += 2) {
      names.add(namesAndValues[i]);
      values.add(namesAndValues[i + 1]);
    }
    return new Report(names, List.of(values));
  }

  /** Builds a report with one column. */
  static Report ofLines(String column, List<String> lines) {
    return new Report(List.of(column), lines.stream().map(List::of).toList());
  }
}
