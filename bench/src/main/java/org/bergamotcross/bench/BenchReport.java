package org.bergamotcross.bench;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.apache.commons.csv.CSVFormat;
import org.apache.commons.csv.CSVPrinter;

/** Writes the rows of a benchmark report as a CSV file and as a Markdown table. */
final class BenchReport {
  private BenchReport() {}

  static void write(
      Path directory, String name, String heading, List<String> columns, List<List<String>> rows)
      throws IOException {
    Files.createDirectories(directory);
    try (CSVPrinter csv =
        new CSVPrinter(
            Files.newBufferedWriter(directory.resolve(name + ".csv")), CSVFormat.DEFAULT)) {
      csv.printRecord(columns);
      csv.printRecords(rows);
    }
    StringBuilder text = new StringBuilder(heading).append("\n\n| ");
    text.append(String.join(" | ", columns)).append(" |\n|");
    text.append(" --- |".repeat(columns.size())).append('\n');
    rows.forEach(row -> text.append("| ").append(String.join(" | ", row)).append(" |\n"));
    Files.writeString(directory.resolve(name + ".md"), text.toString());
    System.out.print(text);
  }
}
