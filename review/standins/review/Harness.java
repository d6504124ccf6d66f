package review;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;

/**
 * Runs a case: sets up the store and the fleet, and ends all processes afterwards.
 *
 * <p>The exit code is 0 if the rule held, 1 if it was broken, and 2 if the case could not run.
 */
final class Harness {
  private static final int HELD = 0;
  private static final int BROKEN = 1;
  private static final int COULD_NOT_RUN = 2;

  /** A case. */
  interface Case {
    /** Returns whether the rule held. */
    boolean play(Scene scene) throws Exception;
  }

  /** What a case works with. */
  static final class Scene {
    private final boolean trouble;
    private final Report report;
    private final StoreStandin store;
    private final Fleet fleet;
    private final Deque<AutoCloseable> closeables = new ArrayDeque<>();

    private Scene(boolean trouble, Report report, StoreStandin store, Fleet fleet) {
      this.trouble = trouble;
      this.report = report;
      this.store = store;
      this.fleet = fleet;
    }

    /** Returns whether the disruption is to be played. */
    boolean trouble() {
      return trouble;
    }

    Report report() {
      return report;
    }

    StoreStandin store() {
      return store;
    }

    Fleet fleet() {
      return fleet;
    }

    <T extends AutoCloseable> T closeLater(T resource) {
      closeables.push(resource);
      return resource;
    }
  }

  private Harness() {}

  static int run(Case played) {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Path root = Path.of("").toAbsolutePath();
    Path recordFile = Path.of(System.getenv().getOrDefault("RECORD", "record.txt"));
    try (Report report = new Report(recordFile)) {
      Path folder = Files.createTempDirectory("review");
      StoreStandin store = new StoreStandin();
      Fleet fleet = new Fleet(root, folder, report);
      // Also when the script is ended from outside, no process may stay.
      Runtime.getRuntime().addShutdownHook(new Thread(fleet::close));
      Scene scene = new Scene(trouble, report, store, fleet);
      report.say("the disruption is %s", trouble ? "played" : "left out (TROUBLE=0)");
      try {
        boolean held = played.play(scene);
        report.say(held ? "The rule held." : "The rule was BROKEN.");
        return held ? HELD : BROKEN;
      } catch (Exception | LinkageError e) {
        report.say("could not run: %s", e);
        return COULD_NOT_RUN;
      } finally {
        fleet.close();
        for (AutoCloseable resource : scene.closeables) {
          resource.close();
        }
        store.close();
        keepLogs(folder);
        delete(folder);
      }
    } catch (Exception e) {
      System.err.println("could not run: " + e);
      return COULD_NOT_RUN;
    }
  }

  /** Copies the logs of the instances to the folder that LOGS names, if it is set. */
  private static void keepLogs(Path folder) throws IOException {
    String target = System.getenv("LOGS");
    if (target == null) {
      return;
    }
    try (var files = Files.list(folder)) {
      for (Path file : files.filter(f -> f.toString().endsWith(".log")).toList()) {
        Files.copy(
            file,
            Path.of(target).resolve(file.getFileName()),
            java.nio.file.StandardCopyOption.REPLACE_EXISTING);
      }
    }
  }

  private static void delete(Path folder) throws IOException {
    List<Path> paths;
    try (var walk = Files.walk(folder)) {
      paths = walk.sorted(Comparator.reverseOrder()).toList();
    }
    for (Path path : paths) {
      Files.deleteIfExists(path);
    }
  }
}
