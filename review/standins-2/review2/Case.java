package review2;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** Runs a case: 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
final class Case {
  /** Plays a case; returns whether the rule was broken. */
  interface Play {
    boolean play(Record record, boolean trouble, Path temporary) throws Throwable;
  }

  private Case() {}

  static void run(Path directory, Play play) {
    int code = 2;
    try {
      Path temporary = Files.createTempDirectory("review-2-");
      try (Record record = new Record(directory.resolve("record.txt"))) {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        record.line("disruption %s", trouble ? "on" : "off");
        code = play.play(record, trouble, temporary) ? 1 : 0;
        record.line("exit %d", code);
      } finally {
        delete(temporary);
      }
    } catch (Throwable e) {
      e.printStackTrace();
    }
    System.exit(code);
  }

  private static void delete(Path directory) throws IOException {
    List<Path> files;
    try (Stream<Path> all = Files.walk(directory)) {
      files = all.sorted(Comparator.reverseOrder()).toList();
    }
    for (Path file : files) {
      Files.delete(file);
    }
  }
}
