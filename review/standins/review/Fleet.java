package review;

import java.io.File;
import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

/** Entry instances as processes, started with the command of the deploy file. */
final class Fleet implements AutoCloseable {
  private static final Duration START_TIMEOUT = Duration.ofSeconds(45);
  private static final Pattern PLACEHOLDER = Pattern.compile("\\{\\{([a-z_.]+)}}");
  private static final Pattern RUN = Pattern.compile("(?m)^run = \"(.*)\"$");
  private static final int ZONES = 3;
  private static final int FIRST_PORT = 12_000;
  private static final int LAST_PORT = 30_000;
  private static final Set<Integer> USED_PORTS = ConcurrentHashMap.newKeySet();

  /** One entry instance. */
  static final class Instance {
    final String name;
    final String zone;
    final int callerPort;
    final int peerPort;
    final int operationsPort;
    final StoreStandin.Address store;
    Process process;

    private Instance(int index, StoreStandin.Address store) throws IOException {
      this.name = "front-" + (index + 1);
      this.zone = "zone-" + (char) ('a' + index % ZONES);
      this.callerPort = freePort();
      this.peerPort = freePort();
      this.operationsPort = freePort();
      this.store = store;
    }

    boolean isReady() {
      try (Socket socket = new Socket("127.0.0.1", operationsPort)) {
        socket.setSoTimeout(1_000);
        socket
            .getOutputStream()
            .write(
                "GET /v1/ready HTTP/1.1\r\nHost: ready\r\n\r\n".getBytes(StandardCharsets.UTF_8));
        return HttpMessage.read(socket.getInputStream()).status() == 200;
      } catch (IOException e) {
        return false;
      }
    }
  }

  private final Path root;
  private final Path folder;
  private final Report report;
  private final List<Instance> instances = new ArrayList<>();
  private boolean closed;

  Fleet(Path root, Path folder, Report report) {
    this.root = root;
    this.folder = folder;
    this.report = report;
  }

  List<Instance> instances() {
    return instances;
  }

  void start(int count, StoreStandin store) throws IOException, InterruptedException {
    for (int i = 0; i < count; i++) {
      instances.add(new Instance(i, store.openAddress()));
    }
    for (Instance instance : instances) {
      start(instance);
    }
    long end = System.nanoTime() + START_TIMEOUT.toNanos();
    while (!instances.stream().allMatch(Instance::isReady)) {
      if (System.nanoTime() > end) {
        throw new IOException("an instance did not become ready");
      }
      Thread.sleep(100);
    }
    report.say("%d instances are ready", count);
  }

  synchronized void start(Instance instance) throws IOException {
    if (closed) {
      throw new IOException("the script has ended");
    }
    Path settings = folder.resolve(instance.name + ".ini");
    Files.writeString(settings, render(instance));
    Matcher run = RUN.matcher(Files.readString(root.resolve("deploy/system.toml")));
    if (!run.find()) {
      throw new IOException("the deploy file names no command");
    }
    List<String> command = new ArrayList<>(List.of(run.group(1).split(" ")));
    command.replaceAll(w -> w.equals("/etc/bergamotcross/node.toml") ? settings.toString() : w);
    ProcessBuilder builder = new ProcessBuilder(command).directory(root.toFile());
    builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
    builder.environment().put("BERGAMOTCROSS_SETTINGS", settings.toString());
    File log = folder.resolve(instance.name + ".log").toFile();
    builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log));
    instance.process = builder.start();
    report.line("started %s as process %d", instance.name, instance.process.pid());
  }

  /** Stops a process where it is; seen from outside, its machine has lost power. */
  static void freeze(Instance instance) throws IOException, InterruptedException {
    String pid = Long.toString(instance.process.pid());
    if (new ProcessBuilder("kill", "-STOP", pid).inheritIO().start().waitFor() != 0) {
      throw new IOException("could not stop " + instance.name);
    }
  }

  Path log(Instance instance) {
    return folder.resolve(instance.name + ".log");
  }

  private String render(Instance instance) throws IOException {
    Map<String, String> fields = new HashMap<>();
    fields.put("node", instance.name);
    fields.put("zone", instance.zone);
    fields.put("listen.front", "127.0.0.1:" + instance.callerPort);
    fields.put("listen.control", "127.0.0.1:" + instance.peerPort);
    fields.put(Wire.READY_ADDRESS, "127.0.0.1:" + instance.operationsPort);
    fields.put("platform.address", instance.store.hostAndPort());
    fields.put(
        "seeds",
        instances.stream()
            .limit(3)
            .map(i -> "127.0.0.1:" + i.peerPort)
            .collect(Collectors.joining(",")));
    fields.put("bounds.retry_budget_ratio", "0.2");
    fields.put("bounds.retry_slack", "62");
    fields.put("bounds.quota_window", "5s");
    fields.put("bounds.quota_overshoot", "0.1");
    fields.put("bounds.quota_slack", "20");
    fields.put("bounds.grace", "6s");
    Matcher matcher = PLACEHOLDER.matcher(Files.readString(root.resolve("platform/entry.ini")));
    return matcher.replaceAll(
        m -> {
          if (!fields.containsKey(m.group(1))) {
            throw new IllegalStateException("no value for " + m.group(1));
          }
          return Matcher.quoteReplacement(fields.get(m.group(1)));
        });
  }

  /** Finds a free port below those that the system gives to outgoing connections. */
  private static int freePort() throws IOException {
    while (true) {
      int port = ThreadLocalRandom.current().nextInt(FIRST_PORT, LAST_PORT);
      try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
        if (USED_PORTS.add(port)) {
          return socket.getLocalPort();
        }
      } catch (BindException e) {
        // Another process has the port.
      }
    }
  }

  @Override
  public synchronized void close() {
    closed = true;
    for (Instance instance : instances) {
      if (instance.process != null) {
        instance.process.destroyForcibly();
      }
    }
    for (Instance instance : instances) {
      try {
        if (instance.process != null) {
          instance.process.waitFor();
        }
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }
}
