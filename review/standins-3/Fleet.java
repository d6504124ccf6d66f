import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** A small fleet: the store, servers, and entry instances in a temporary folder. */
final class Fleet implements AutoCloseable {
  static final String HOST = "shop.example";

  final Store store = new Store();
  final Record record = new Record();
  final List<Entry> entries = new ArrayList<>();
  final List<Backend> backends = new ArrayList<>();
  final Path directory = Files.createTempDirectory("review-3");

  /** Whether somebody reads the standard output of the instances. */
  boolean readsOutput = true;

  private final List<String> resources = new ArrayList<>();
  private int version;

  Fleet() throws IOException {
    resources.add(Wire.name("resource.limits"));
  }

  void service(String name) {
    resources.add(Wire.name("resource.service").formatted(name));
  }

  void route(String name, String prefix, String kind, String service, long timeoutMs) {
    resources.add(
        Wire.name("resource.route").formatted(name, HOST, prefix, kind, timeoutMs, service));
  }

  void tenant(String name, String key, int rate, int burst) {
    resources.add(Wire.name("resource.tenant").formatted(name, key, rate, burst));
  }

  /** Publishes a new version; returns when the store has accepted it. */
  void publish() {
    version += 3;
    store.write(
        Wire.name("topic.configuration"),
        "config",
        Wire.name("configuration").formatted(version, String.join(",", resources)));
    record.note("configuration version=" + version + " accepted");
  }

  Entry entry(int number, List<Integer> peerPorts) throws IOException {
    List<String> seeds = peerPorts.stream().limit(3).map(p -> "127.0.0.1:" + p).toList();
    Entry entry =
        new Entry(
            directory,
            "front-" + number,
            "zone-" + number % 3,
            store.address(),
            seeds,
            peerPorts.get(number));
    entry.readsOutput = readsOutput;
    entries.add(entry);
    return entry;
  }

  /** Starts entry instances and waits until all are ready. */
  void startEntries(int count) throws IOException, InterruptedException {
    List<Integer> ports = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      ports.add(Entry.freePort());
    }
    for (int i = 0; i < count; i++) {
      entry(i, ports).start();
    }
    for (Entry entry : entries) {
      entry.awaitReady();
    }
  }

  /** Ends the processes that this fleet started. */
  void endProcesses() {
    List.copyOf(entries).forEach(Entry::close);
  }

  @Override
  public void close() throws IOException {
    endProcesses();
    backends.forEach(Backend::close);
    store.close();
    if (System.getenv("KEEP_LOGS") != null) {
      System.err.println("logs of the entry instances: " + directory);
      return;
    }
    try (Stream<Path> files = Files.walk(directory)) {
      files.sorted(Comparator.reverseOrder()).map(Path::toFile).forEach(f -> f.delete());
    }
  }
}
