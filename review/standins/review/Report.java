package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes {@code record.txt}: what was sent, answered and run, with the time since the start. */
final class Report implements AutoCloseable {
  private final long start = System.nanoTime();
  private final PrintWriter file;

  Report(Path path) throws IOException {
    file = new PrintWriter(Files.newBufferedWriter(path, StandardCharsets.UTF_8));
  }

  synchronized void line(String format, Object... arguments) {
    double seconds = (System.nanoTime() - start) / 1e9;
    file.printf(Locale.ROOT, "%8.3f %s%n", seconds, String.format(Locale.ROOT, format, arguments));
    file.flush();
  }

  /** Writes a line to the file and to the console. */
  void say(String format, Object... arguments) {
    line(format, arguments);
    System.out.println(String.format(Locale.ROOT, format, arguments));
  }

  @Override
  public synchronized void close() {
    file.close();
  }
}
