package review2;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;

/** What was sent, answered and run, with milliseconds since the start of the case. */
final class Record implements AutoCloseable {
  private final PrintWriter out;
  private final long start = System.nanoTime();

  Record(Path file) throws IOException {
    out = new PrintWriter(file.toFile(), StandardCharsets.UTF_8);
  }

  synchronized void line(String format, Object... arguments) {
    String text =
        "%6d ms  ".formatted((System.nanoTime() - start) / 1_000_000L)
            + format.formatted(arguments);
    out.println(text);
    out.flush();
    System.out.println(text);
  }

  @Override
  public void close() {
    out.close();
  }
}
