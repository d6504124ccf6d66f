import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** What was sent, answered and run, as seen by callers and servers. */
final class Record {
  final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
  final Map<String, byte[]> bodiesBySeal = new ConcurrentHashMap<>();
  private final Map<String, String> lastServers = new ConcurrentHashMap<>();
  private final long start = System.nanoTime();
  private final List<String> lines = new ArrayList<>();
  private final List<String> conclusions = new ArrayList<>();

  synchronized void note(String line) {
    lines.add("%9.3f %s".formatted((System.nanoTime() - start) / 1e9, line));
  }

  /** Notes a line and keeps it for the summary that is printed at the end. */
  synchronized void conclude(String line) {
    note(line);
    conclusions.add(line);
  }

  synchronized void print() {
    conclusions.forEach(System.out::println);
  }

  void ran(String attempt, String server, Http.Message request) {
    int count = runs.computeIfAbsent(attempt, a -> new AtomicInteger()).incrementAndGet();
    lastServers.put(attempt, server);
    note("run request=" + attempt + " server=" + server + " count=" + count);
  }

  void answered(String attempt, String server, String seal, byte[] body) {
    bodiesBySeal.put(seal, body);
    note("answer request=" + attempt + " server=" + server + " seal=" + seal);
  }

  /** Returns the server that ran a request last, empty if none did. */
  String lastServer(String attempt) {
    return lastServers.getOrDefault(attempt, "");
  }

  int runCount(String attempt) {
    AtomicInteger count = runs.get(attempt);
    return count == null ? 0 : count.get();
  }

  synchronized void write(Path file) throws IOException {
    Files.write(file, lines);
  }
}
