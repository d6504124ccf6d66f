package org.bergamotcross.systemtest;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.bergamotcross.standin.FreePorts;

/** One entry instance as a process of its own, which a test can kill, pause and stop. */
final class EntryProcess implements AutoCloseable {
  private static final long EXIT_LIMIT_SECONDS = 40;

  private final String id;
  private final int callerPort;
  private final int operationsPort;
  private final Path log;
  private final Process process;

  private EntryProcess(String id, int callerPort, int operationsPort, Path log, Process process) {
    this.id = id;
    this.callerPort = callerPort;
    this.operationsPort = operationsPort;
    this.log = log;
    this.process = process;
  }

  /**
   * Starts an instance on free ports.
   *
   * @param directory where its settings and its log go
   * @param id the id
   * @param failureDomain the failure domain
   * @param platformPort the port of the platform
   * @param seeds the peer addresses that it is given
   */
  static EntryProcess start(
      Path directory, String id, String failureDomain, int platformPort, int peers, String seeds)
      throws IOException {
    int callers = FreePorts.next();
    int operations = FreePorts.next();
    Path settings = directory.resolve(id + ".ini");
    Files.writeString(
        settings,
        """
        [instance]
        id = %s
        failure-domain = %s
        [listen]
        callers = 127.0.0.1:%d
        peers = 127.0.0.1:%d
        operations = 127.0.0.1:%d
        [platform]
        address = 127.0.0.1:%d
        [peers]
        seeds = %s
        """
            .formatted(id, failureDomain, callers, peers, operations, platformPort, seeds));
    Path log = directory.resolve(id + ".log");
    Process process =
        new ProcessBuilder(
                List.of(
                    Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                    "-Xmx256m",
                    "-XX:TieredStopAtLevel=1",
                    "-cp",
                    System.getProperty("java.class.path"),
                    "org.bergamotcross.entry.EntryMain",
                    "--settings",
                    settings.toString()))
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
            .start();
    return new EntryProcess(id, callers, operations, log, process);
  }

  String id() {
    return id;
  }

  int callerPort() {
    return callerPort;
  }

  int operationsPort() {
    return operationsPort;
  }

  /** Returns the lines that the process has logged so far. */
  List<String> logLines() throws IOException {
    return Files.readAllLines(log);
  }

  /** Ends the process at once, as a power failure would. */
  void kill() throws InterruptedException {
    process.destroyForcibly();
    process.waitFor(EXIT_LIMIT_SECONDS, TimeUnit.SECONDS);
  }

  void pause() throws IOException, InterruptedException {
    signal("STOP");
  }

  void resume() throws IOException, InterruptedException {
    signal("CONT");
  }

  /** Asks for a planned stop; returns at once. */
  void terminate() throws IOException, InterruptedException {
    signal("TERM");
  }

  /** Waits for the end of the process and returns its exit code. */
  int awaitExit() throws InterruptedException {
    if (!process.waitFor(EXIT_LIMIT_SECONDS, TimeUnit.SECONDS)) {
      throw new IllegalStateException(id + " did not end within " + EXIT_LIMIT_SECONDS + " s");
    }
    return process.exitValue();
  }

  private void signal(String name) throws IOException, InterruptedException {
    Process kill =
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).inheritIO().start();
    kill.waitFor();
  }

  @Override
  public void close() {
    process.destroyForcibly();
  }
}
