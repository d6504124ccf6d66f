import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Entry instance in its own process, started by the command of the deploy file. */
final class Entry implements AutoCloseable {
  private static final Pattern PLACEHOLDER = Pattern.compile("\\{\\{([a-z_.]+)}}");
  private static final Pattern ENVIRONMENT = Pattern.compile("([A-Z_]+) = \"([^\"]*)\"");

  private static final int FIRST_PORT = 15_000;
  private static final int LAST_PORT = 30_000;
  private static final AtomicInteger NEXT_PORT =
      new AtomicInteger(ThreadLocalRandom.current().nextInt(FIRST_PORT, LAST_PORT));

  final String name;
  final int callerPort;
  final int peerPort;
  final int readyPort;
  final Path log;

  /** Whether somebody reads the standard output; if not, it goes to a pipe that fills up. */
  boolean readsOutput = true;

  private final List<String> command = new ArrayList<>();
  private final Map<String, String> environment = new HashMap<>();
  private Process process;

  /** Reserves ports and writes the settings file, as the platform does before a start. */
  Entry(Path directory, String name, String zone, String store, List<String> seeds, int peerPort)
      throws IOException {
    this.name = name;
    this.callerPort = freePort();
    this.readyPort = freePort();
    this.peerPort = peerPort;
    this.log = directory.resolve(name + ".log");
    Map<String, String> values = new HashMap<>();
    values.put("node", name);
    values.put("zone", zone);
    values.put("listen.front", "127.0.0.1:" + callerPort);
    values.put("listen.control", "127.0.0.1:" + peerPort);
    values.put(Wire.name("placeholder.ready-address"), "127.0.0.1:" + readyPort);
    values.put("platform.address", store);
    values.put("seeds", String.join(",", seeds));
    values.put("bounds.retry_budget_ratio", "0.2");
    values.put("bounds.retry_slack", "62");
    values.put("bounds.quota_window", "5s");
    values.put("bounds.quota_overshoot", "0.1");
    values.put("bounds.quota_slack", "20");
    values.put("bounds.grace", "6s");
    values.put("limits.cpu_share", "0.795");
    values.put("limits.cpu_cores", "2");
    values.put("limits.link_mbps", "2700.0");
    Path settings = directory.resolve(name + ".ini");
    String deploy = Files.readString(Path.of("deploy/system.toml"));
    Files.writeString(settings, fill(Files.readString(Path.of(text(deploy, "template"))), values));
    for (String word : text(deploy, "run").split(" ")) {
      command.add(word.equals("/etc/bergamotcross/node.toml") ? settings.toString() : word);
    }
    Matcher variables = ENVIRONMENT.matcher(deploy.substring(deploy.indexOf("env = {")));
    while (variables.find()) {
      environment.put(variables.group(1), fill(variables.group(2), values));
    }
  }

  private static String text(String toml, String key) {
    Matcher line = Pattern.compile("(?m)^" + key + " = \"([^\"]*)\"").matcher(toml);
    if (!line.find()) {
      throw new IllegalStateException("no " + key + " in the deploy file");
    }
    return line.group(1);
  }

  private static String fill(String template, Map<String, String> values) {
    return PLACEHOLDER
        .matcher(template)
        .replaceAll(m -> Matcher.quoteReplacement(values.getOrDefault(m.group(1), "")));
  }

  /**
   * Returns a free port below those that the system gives to outgoing connections. The ports of a
   * run follow each other, so that runs side by side seldom meet.
   */
  static int freePort() throws IOException {
    for (int attempt = 0; attempt < 100; attempt++) {
      int port = NEXT_PORT.getAndIncrement();
      try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
        return socket.getLocalPort();
      } catch (BindException e) {
        // Another process uses the port.
      }
    }
    throw new IOException("no free port");
  }

  void start() throws IOException {
    ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
    builder.environment().putAll(environment);
    if (readsOutput) {
      builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
    }
    process = builder.start();
  }

  boolean isAlive() {
    return process.isAlive();
  }

  boolean awaitEnd(long limitMs) throws InterruptedException {
    return process.waitFor(limitMs, TimeUnit.MILLISECONDS);
  }

  /** Sends a signal to the process that this test started. */
  void signal(String signal) throws IOException, InterruptedException {
    new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
  }

  /** Asks as the platform does; returns the status, 0 without an answer. */
  int readiness() {
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), readyPort)) {
      socket.setSoTimeout(1_000);
      socket
          .getOutputStream()
          .write("GET /v1/ready HTTP/1.1\r\nHost: x\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
      byte[] start = socket.getInputStream().readNBytes(12);
      return start.length < 12 ? 0 : Integer.parseInt(new String(start, 9, 3));
    } catch (IOException e) {
      return 0;
    }
  }

  void awaitReady() throws IOException, InterruptedException {
    for (int i = 0; i < 300 && isAlive(); i++) {
      if (readiness() == 200) {
        return;
      }
      Thread.sleep(100);
    }
    throw new IOException(name + " was not ready within 30 s, or has ended");
  }

  @Override
  public void close() {
    if (process != null) {
      process.destroyForcibly();
      try {
        process.waitFor();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }
}
