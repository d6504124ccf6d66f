package review2;

import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** An entry instance, started with the command and the settings template of the deploy file. */
final class Entry implements AutoCloseable {
  private static final Pattern RUN = Pattern.compile("(?m)^run = \"(.*)\"$");
  private static final Pattern PLACEHOLDER = Pattern.compile("\\{\\{([a-z_.]+)\\}\\}");

  final String name;
  final int callers;
  final int operations;
  final Process process;
  final Path log;

  Entry(String name, Store store, Path directory, int peers, String seeds, String grace)
      throws IOException {
    this.name = name;
    this.callers = freePort();
    this.operations = freePort();
    Map<String, String> values =
        Map.ofEntries(
            Map.entry("node", name),
            Map.entry("zone", "z1"),
            Map.entry("listen.front", "127.0.0.1:" + callers),
            Map.entry("listen.control", "127.0.0.1:" + peers),
            Map.entry(Wire.name("placeholder.ready-address"), "127.0.0.1:" + operations),
            Map.entry("platform.address", "127.0.0.1:" + store.port()),
            Map.entry("seeds", seeds),
            Map.entry("bounds.retry_budget_ratio", "0.2"),
            Map.entry("bounds.retry_slack", "62"),
            Map.entry("bounds.quota_window", "5s"),
            Map.entry("bounds.quota_overshoot", "0.1"),
            Map.entry("bounds.quota_slack", "20"),
            Map.entry("bounds.grace", grace));
    Path settings = directory.resolve(name + ".ini");
    Files.writeString(
        settings,
        PLACEHOLDER
            .matcher(Files.readString(Path.of("platform/entry.ini")))
            .replaceAll(m -> Matcher.quoteReplacement(values.get(m.group(1)))));
    Matcher run = RUN.matcher(Files.readString(Path.of("deploy/system.toml")));
    if (!run.find()) {
      throw new IOException("no command in deploy/system.toml");
    }
    List<String> command = new ArrayList<>();
    for (String word : run.group(1).split(" ")) {
      command.add(word.equals("/etc/bergamotcross/node.toml") ? settings.toString() : word);
    }
    log = directory.resolve(name + ".log");
    ProcessBuilder builder =
        new ProcessBuilder(command).redirectErrorStream(true).redirectOutput(log.toFile());
    builder.environment().put("INSTANCE_PROCESSOR_SHARE", "0.795");
    builder.environment().put("INSTANCE_PROCESSOR_SPEED", "2");
    builder.environment().put("INSTANCE_LINK_MBPS", "2700.0");
    process = builder.start();
    Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
  }

  static Entry start(String name, Store store, Path directory) throws Exception {
    int peers = freePort();
    Entry entry = new Entry(name, store, directory, peers, "127.0.0.1:" + peers, "6s");
    entry.awaitReady();
    return entry;
  }

  static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return socket.getLocalPort();
    }
  }

  void awaitReady() throws Exception {
    long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(40);
    while (System.nanoTime() < until && process.isAlive()) {
      try {
        HttpURLConnection connection =
            (HttpURLConnection)
                URI.create("http://127.0.0.1:" + operations + "/v1/ready").toURL().openConnection();
        if (connection.getResponseCode() == 200) {
          return;
        }
      } catch (IOException e) {
        // Not listening yet.
      }
      Thread.sleep(50);
    }
    throw new IOException(name + " is not ready");
  }

  /** SIGTERM. */
  void terminate() {
    process.destroy();
  }

  @Override
  public void close() {
    process.destroyForcibly();
    try {
      process.waitFor();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
